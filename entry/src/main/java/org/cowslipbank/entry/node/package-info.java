/** The node: puts the parts together, starts and stops them in order. */
package org.cowslipbank.entry.node;
