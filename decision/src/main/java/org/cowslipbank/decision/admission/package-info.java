/**
 * Admission control: a request is admitted, queued, or refused with a retry delay.
 *
 * <p>Each node of a team's subset decides independently; there is no global counter. A team's rate and concurrency
 * limits at a node are its fleet-wide limits divided by the size of the subset, and {@link
 * org.cowslipbank.decision.admission.TeamShares} adds part of the share that other nodes of the subset report as
 * unused.
 *
 * <p>Requests within the team's limits wait in one queue per team. The queues are served by start-time fair queueing
 * (Goyal, Vin and Cheng): the start tag of a request is the later of the virtual time and the finish tag of its
 * predecessor, its finish tag is the start tag plus cost divided by weight, and the lowest start tag is served first. A
 * team that was idle starts at the current virtual time, so the backlog of another team does not delay it.
 *
 * <p>The number of requests in flight is bounded by {@link org.cowslipbank.decision.admission.Capacity}, which is
 * derived from the upstreams' slots and load reports: a node may always use its even share of the slots, plus a part of
 * those that the reports show as free. When the engines are full, requests queue at the node, where queueing is fair,
 * instead of in the engines.
 *
 * <p>A request whose expected wait exceeds its deadline is refused on arrival, as not run and with a retry delay. The
 * wait is estimated from the work that would be served before it and the measured service rate. A queued request whose
 * deadline passes anyway is refused before it is sent.
 *
 * <p>A modest team is one that uses less than its fair share of the requests in flight. Part of the capacity is kept
 * free for modest teams while others have a backlog.
 *
 * <p>Alternatives considered: deficit round robin serves a whole quantum of one team before the next, so a small team
 * waits for a round whose length grows with the number of busy teams. A queue at the engines cannot be made fair
 * because engines do not know teams.
 */
package org.cowslipbank.decision.admission;
