/**
 * Compares the routing and retention decisions with baselines and an oracle in a queueing model on a virtual clock.
 *
 * <p>The model has engines that compute one prompt at a time, stores with two tiers, links that carry one block at a
 * time, and nodes that see delayed load reports and, beyond these, only their own requests. It calls the same pure
 * decisions as the nodes, but simulates none of their I/O code.
 */
package org.cowslipbank.bench.routing;
