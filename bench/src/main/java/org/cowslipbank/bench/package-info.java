/** Experiments with bounds, and the load tool. */
package org.cowslipbank.bench;
