/**
 * Is a request admitted now, queued, or refused with a time to retry?
 *
 * <p>Each node of a team's subset decides alone. A team's rate and concurrency at a node are its limits divided by the
 * subset's size; {@link org.cowslipbank.decision.admission.TeamShares} lends the share that other nodes of the subset
 * report as unused. There is no global counter.
 *
 * <p>Requests that pass the team's limits wait in one queue for each team. The queues are served by start-time fair
 * queueing (Goyal, Vin and Cheng): a request's start tag is the later of the virtual time and the finish tag of its
 * predecessor, its finish tag is the start tag plus cost divided by weight, and the lowest start tag is served first. A
 * team that has been idle starts at the current virtual time, so another team's backlog does not delay it.
 *
 * <p>The number in flight is bounded by {@link org.cowslipbank.decision.admission.Capacity}, derived from the
 * upstreams' slots and load reports: a node may always use its even share of the slots, and beyond it a part of those
 * that the reports show as free. A queue in front of full engines is kept at the node, where it is fair, instead of in
 * the engines.
 *
 * <p>A request is refused when it arrives, as not run and with a time to retry, if its expected wait exceeds its bound.
 * The wait is estimated from the work that would be served before it and the measured service rate. A queued request
 * whose bound passes nevertheless is refused too, before it is sent.
 *
 * <p>Alternatives considered: deficit round robin serves a whole quantum of one team before the next, so a small team
 * waits for the round, whose length grows with the number of busy teams. A queue at the engines cannot be
 * made fair because engines do not know teams.
 */
package org.cowslipbank.decision.admission;
