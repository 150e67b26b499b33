/**
 * Compares the routing and retention decisions with baselines and an oracle on a virtual clock.
 *
 * <p>The model holds engines that compute prompts one after the other, stores with two tiers, links that serve one block
 * at a time, and nodes that see load reports late and know only what they themselves have sent. It is no simulator of
 * the nodes' code: it calls the same pure decisions that the nodes call.
 */
package org.cowslipbank.bench.routing;
