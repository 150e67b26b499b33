/**
 * Which upstream runs a prompt, and how many retained blocks are fetched before the rest is recomputed.
 *
 * <p>The choice is a pure function of a snapshot. Alternatives considered: a fixed session affinity (loses the retained
 * blocks when the upstream leaves or is busy), fetching always or recomputing always (each wins only while the other
 * resource is short), and two candidates instead of a scan of all of them (within 2% of the scan, so the scan stays, which
 * needs no seed). The routing bench compares them; its figures are in {@code docs/measurements/routing.md}.
 */
package org.cowslipbank.decision.routing;
