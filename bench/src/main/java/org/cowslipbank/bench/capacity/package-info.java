/**
 * Retained heap of a node's state at three sizes each, and the slopes from which {@code docs/CAPACITY.md} is worked out.
 */
package org.cowslipbank.bench.capacity;
