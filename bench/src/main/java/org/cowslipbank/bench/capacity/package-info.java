/**
 * Measures the retained heap of a node's state at three sizes each, and fits the slopes that {@code docs/CAPACITY.md}
 * uses.
 */
package org.cowslipbank.bench.capacity;
