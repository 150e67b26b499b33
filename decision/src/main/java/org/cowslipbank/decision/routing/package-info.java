/**
 * Selects the upstream that runs a prompt and how many retained blocks are fetched before the rest is recomputed.
 *
 * <p>The choice is a pure function of a snapshot. Alternatives considered: fixed session affinity (loses the retained
 * blocks when the upstream leaves or is busy), always fetching or always recomputing (each wins only while the other
 * resource is scarce), and sampling two candidates instead of scanning all of them (within 2% of the scan, which is
 * preferred because it needs no random seed). The routing bench compares them; its figures are in
 * {@code docs/measurements/routing.md}.
 */
package org.cowslipbank.decision.routing;
