/** Experiments whose figures have bounds, and the load tool. */
package org.cowslipbank.bench;
