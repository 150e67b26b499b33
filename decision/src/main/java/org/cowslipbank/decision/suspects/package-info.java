/**
 * Which requests were in flight when upstreams crashed, where may they run again, and when are they refused?
 *
 * <p>A <i>suspect</i> is a request that was in flight at a crash and may have caused it. All nodes identify a request by
 * its {@link org.cowslipbank.decision.suspects.Fingerprint}; requests with the same fingerprint are <i>copies</i>. The
 * package has three parts.
 *
 * <ul>
 *   <li>{@link org.cowslipbank.decision.suspects.SuspectFacts}: the facts that all nodes share. Crash and clear facts
 *       form two sets that only grow until their entries expire, so merging is commutative, associative and idempotent,
 *       and membership probes can carry them in any order. The verdict on a fingerprint is a function of the sets.
 *   <li>{@link org.cowslipbank.decision.suspects.CopyGuard}: rendezvous hashing assigns each fingerprint a guard node in
 *       each region, and nodes ask the guard before they send a request. While copies of a request that has never
 *       finished are in flight, the guard places further copies on the same upstream. Nodes can ask in parallel with
 *       the store lookup, so the question adds no latency where there is a lookup.
 *   <li>{@link org.cowslipbank.decision.suspects.SuspectArbiter}: for each model group one node of the fleet grants
 *       suspects their next run, at most one suspect per upstream and one run per fingerprint at a time.
 * </ul>
 *
 * <p><b>Why one request costs at most two upstreams.</b> Let X crash every upstream that runs it.
 *
 * <ol>
 *   <li>Before the first crash, the guard of X's fingerprint has placed all copies of X in the region on one upstream,
 *       however many nodes the caller sent them to. The first crash costs that upstream.
 *   <li>A node that detects the crash reports it to the guard and to the arbiter before it resends any of that
 *       upstream's requests. From then on the guard answers that X is a suspect, so no node runs X without a grant.
 *   <li>The arbiter grants X at most one run at a time; a second crash costs that upstream. The node that holds the
 *       grant reports the crash. If that node dies too, the arbiter, which is notified of the upstream's death itself,
 *       records the crash for the granted fingerprint.
 *   <li>Both crashes are on record at the guard and the arbiter before any node gets an answer, so X is refused there,
 *       and membership probes carry the facts to all other nodes.
 * </ol>
 *
 * <p>With two regions, each has a guard, so before any crash copies may run on one upstream in each region. The arbiter
 * therefore grants a second run only after the other region's guard has merged the facts and confirmed that it has no
 * copy in flight. If that guard is unreachable, X waits or is refused as not run.
 *
 * <p>Crash facts are also reported to the next guard, which takes over when the guard leaves; the nodes then report
 * their copies in flight to it. Copies that it places before those reports arrive may cost a second upstream. The
 * arbiter grants no run while the guard has a copy in flight, and none after two crashes. A new arbiter waits one lease
 * period before its first grant. If a guard does not answer, the node uses
 * {@link org.cowslipbank.decision.suspects.CopyGuard#fallbackUpstream}, which gives the same result on every node, so
 * copies still share one upstream. The bound does not hold when the guard is unreachable and, at the same moment, nodes
 * disagree about the set of upstreams.
 *
 * <p><b>Why a harmless request is not refused for sharing an upstream with X.</b> A request is refused after two crashes
 * that it has not been cleared of. A suspect runs only on an upstream with no other suspect, so of the requests in
 * flight at a second crash at most one has an earlier crash, and that is the one common to both. Once it is refused, its
 * crashes count as explained and no longer make the other requests in flight suspects. A request that finishes elsewhere
 * is cleared. Crashes of three or more upstreams within two seconds without a common fingerprint are treated as an
 * infrastructure failure and make no request a suspect.
 *
 * <p>Alternatives considered: distributing facts with membership probes alone takes seconds, in which a caller that
 * retries at once reaches nodes that do not have the facts yet. Restricting each fingerprint to two upstreams by hash
 * needs no messages but gives up routing to retained blocks. Counting crashes per team would refuse harmless requests.
 */
package org.cowslipbank.decision.suspects;
