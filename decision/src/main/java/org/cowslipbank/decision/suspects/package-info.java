/**
 * Which requests were in flight when upstreams crashed, where may they run again, and when are they refused?
 *
 * <p>The package has three parts.
 *
 * <ul>
 *   <li>{@link org.cowslipbank.decision.suspects.SuspectFacts}: what all nodes know. Crash and clear facts form two
 *       sets that only grow until their entries expire, so merging is commutative, associative and idempotent, and the
 *       probes can carry them in any order. The verdict on a fingerprint is a function of the sets.
 *   <li>{@link org.cowslipbank.decision.suspects.CopyGuard}: the node that the rendezvous hash of a fingerprint names in
 *       a region is asked before a request is sent. While copies of an unproven request are in flight, further copies
 *       join them at the same upstream. The question can run beside the store lookup, so it adds no time where there
 *       is one.
 *   <li>{@link org.cowslipbank.decision.suspects.SuspectArbiter}: one node of the fleet for each model group grants
 *       suspects their next run. It grants at most one suspect to an upstream at a time and one run to a fingerprint.
 * </ul>
 *
 * <p><b>Why one request costs at most two upstreams.</b> Let X crash every upstream that runs it. (1) Before the first
 * crash, the guard of X's fingerprint has placed all copies of X in the region at one upstream, however many nodes its
 * caller sent them to; the first crash costs that one. (2) A node that sees the crash reports it to the guard and to
 * the arbiter before it sends anything of the upstream's work again. From then on the guard answers that X is a
 * suspect, so no node runs X without a grant. (3) The arbiter grants X at most one run at a time; a second crash costs
 * that upstream. The holder reports it, and if the holder dies too, the arbiter, which itself hears of the upstream's
 * death, records it for the granted fingerprint. (4) Two crashes are on record at the guard and the arbiter before
 * anyone is answered, so X is refused there, and the probes carry the facts to all other nodes.
 *
 * <p>With two regions, each has a guard, so copies may run at one upstream in each before any crash. The arbiter
 * therefore grants a second run only after the other region's guard has taken over the facts and confirmed that no copy
 * is in flight there; if it cannot be reached, X waits or is refused as not run. Crash facts are
 * reported to the next guard too, which takes over when the guard leaves; the nodes then report their copies in flight
 * to it. Copies that it places before it has heard of the old ones may cost a second upstream; the arbiter grants no run
 * while the guard knows of a copy in flight, and none after two crashes. A new arbiter waits one lease period before its first grant. If a
 * guard does not answer, the node uses {@link org.cowslipbank.decision.suspects.CopyGuard#fallback}, which every node
 * computes alike, so that copies still meet at one upstream. The bound does not hold when the guard is unreachable
 * and nodes disagree about the upstreams at the same moment.
 *
 * <p><b>Why a harmless request is not refused for its neighbours.</b> A fingerprint is refused after two crashes that
 * nothing has cleared. A suspect is granted an upstream on which no other suspect runs, so at most one member of a
 * second crash has an earlier crash, and it is the one common to both. Once it is refused, its crashes are explained
 * and clear all others that were in flight at them. A request that finishes elsewhere is cleared. Crashes of three or
 * more upstreams within two seconds without a common fingerprint are a failure of the infrastructure and make nobody a
 * suspect.
 *
 * <p>Alternatives considered: spreading facts with the probes alone leaves seconds in which a caller that sends again
 * at once reaches nodes that know nothing. Restricting each fingerprint to two upstreams by hash needs no messages but
 * gives up routing to retained blocks. Counting crashes per team would refuse harmless requests.
 */
package org.cowslipbank.decision.suspects;
