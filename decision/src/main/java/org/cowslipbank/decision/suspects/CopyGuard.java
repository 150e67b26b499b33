package org.cowslipbank.decision.suspects;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/**
 * Keeps copies of a request on one upstream until the request has finished once, so that a request that crashes
 * upstreams crashes only one of them at first. A node is the guard of the fingerprints that rendezvous hashing assigns
 * to it. Not thread-safe: only the control loop calls it.
 */
public final class CopyGuard {
    /** Number of fingerprints remembered as having finished; the oldest is dropped first. */
    static final int MAX_FINISHED_FINGERPRINTS = 20_000;

    private final Map<Long, Placement> inFlight = new HashMap<>();
    private final Map<Long, Boolean> finishedFingerprints = new LinkedHashMap<>();
    private final long maxRunMillis;

    /**
     * Creates a guard with no copies in flight.
     *
     * @param maxRunMillis longest run; a copy whose end is not reported is dropped after this time
     */
    public CopyGuard(long maxRunMillis) {
        this.maxRunMillis = maxRunMillis;
    }

    /** The upstream that the copies of one request share, and the copies in flight there. */
    private record Placement(UpstreamId upstream, Map<AttemptId, Copy> copies) {}

    private record Copy(VmId node, long expiresAtMillis) {}

    /** What the asking node may do with a request. */
    public enum Verdict {
        /** Send it to the named upstream. */
        SEND,
        /** The request is a suspect: ask the arbiter. */
        ASK_ARBITER,
        /** The request is refused on every node. */
        REFUSE
    }

    /**
     * The guard's answer.
     *
     * @param verdict the verdict
     * @param upstream where to send the request; null unless the verdict is {@link Verdict#SEND}
     */
    public record Answer(Verdict verdict, UpstreamId upstream) {}

    /**
     * Asks where a request may be sent.
     *
     * @param fingerprint the request's fingerprint
     * @param attempt the attempt that would be sent
     * @param node the node that asks
     * @param preferred the upstream that routing chose
     * @param facts the guard's crash and clear facts
     * @param nowMillis the time in milliseconds
     * @return the answer; after {@link Verdict#SEND} the node must report the end of the run
     */
    public Answer ask(
            long fingerprint, AttemptId attempt, VmId node, UpstreamId preferred, SuspectFacts facts, long nowMillis) {
        SuspectVerdict verdict = facts.verdict(fingerprint);
        if (verdict == SuspectVerdict.REFUSED) {
            return new Answer(Verdict.REFUSE, null);
        }
        if (verdict == SuspectVerdict.SUSPECT) {
            return new Answer(Verdict.ASK_ARBITER, null);
        }
        if (finishedFingerprints.containsKey(fingerprint)) {
            return new Answer(Verdict.SEND, preferred);
        }
        dropExpired(fingerprint, nowMillis);
        Placement placement = inFlight.computeIfAbsent(fingerprint, key -> new Placement(preferred, new HashMap<>()));
        placement.copies().put(attempt, new Copy(node, nowMillis + maxRunMillis));
        return new Answer(Verdict.SEND, placement.upstream());
    }

    /**
     * Registers a copy that an earlier guard placed. When the guard of a fingerprint changes, nodes report their copies
     * in flight to the new one. Reporting a copy twice has no further effect.
     *
     * @param fingerprint the request's fingerprint
     * @param attempt the attempt
     * @param node the node that sent the copy
     * @param upstream the upstream that runs it
     * @param nowMillis the time in milliseconds
     */
    public void recordInFlight(long fingerprint, AttemptId attempt, VmId node, UpstreamId upstream, long nowMillis) {
        Placement placement = inFlight.computeIfAbsent(fingerprint, key -> new Placement(upstream, new HashMap<>()));
        placement.copies().put(attempt, new Copy(node, nowMillis + maxRunMillis));
    }

    /**
     * Records that a copy has ended.
     *
     * @param fingerprint the request's fingerprint
     * @param attempt the attempt
     * @param finished true if it finished normally; later copies are then placed freely
     */
    public void recordEnd(long fingerprint, AttemptId attempt, boolean finished) {
        if (finished) {
            recordFinished(fingerprint);
        }
        Placement placement = inFlight.get(fingerprint);
        if (placement == null) {
            return;
        }
        placement.copies().remove(attempt);
        if (placement.copies().isEmpty()) {
            inFlight.remove(fingerprint);
        }
    }

    /**
     * Drops the copies of a dead node: its connections are closed and engines cancel its runs.
     *
     * @param node the dead node
     */
    public void removeNode(VmId node) {
        inFlight.values().forEach(placement -> placement.copies().values().removeIf(copy -> copy.node()
                .equals(node)));
        inFlight.values().removeIf(placement -> placement.copies().isEmpty());
    }

    /**
     * Returns whether no copy of a request is in flight in this region. The arbiter needs this before it grants a run.
     *
     * @param fingerprint the request's fingerprint
     * @param nowMillis the time in milliseconds
     * @return true if no copy is in flight
     */
    public boolean hasNoCopyInFlight(long fingerprint, long nowMillis) {
        dropExpired(fingerprint, nowMillis);
        return !inFlight.containsKey(fingerprint);
    }

    /**
     * Returns the upstream at which copies of a request are in flight. When a crash makes the request a suspect, the
     * guard reports this upstream to the arbiter, which then grants no other suspect a run there.
     *
     * @param fingerprint the request's fingerprint
     * @param nowMillis the time in milliseconds
     * @return the upstream, or empty if no copy is in flight
     */
    public Optional<UpstreamId> upstreamOf(long fingerprint, long nowMillis) {
        dropExpired(fingerprint, nowMillis);
        return Optional.ofNullable(inFlight.get(fingerprint)).map(Placement::upstream);
    }

    /**
     * Returns the upstream for a request whose guard does not answer. All nodes with the same list of upstreams get the
     * same result.
     *
     * @param fingerprint the request's fingerprint
     * @param upstreams the upstreams that accept new work, at least one
     * @return the upstream
     */
    public static UpstreamId fallbackUpstream(long fingerprint, List<UpstreamId> upstreams) {
        return highestHash(fingerprint, upstreams);
    }

    /**
     * Returns the node that is the guard of a fingerprint.
     *
     * @param fingerprint the request's fingerprint
     * @param nodes live nodes of the region, at least one
     * @return the guard
     */
    public static VmId guardOf(long fingerprint, List<VmId> nodes) {
        return highestHash(fingerprint, nodes);
    }

    /**
     * Returns the node that becomes the guard when the current guard leaves. Crash facts are also reported to that
     * node, so that it has them when it takes over.
     *
     * @param fingerprint the request's fingerprint
     * @param nodes live nodes of the region, at least one
     * @return the next guard; the current guard if it is the only node
     */
    public static VmId nextGuardOf(long fingerprint, List<VmId> nodes) {
        VmId guard = guardOf(fingerprint, nodes);
        List<VmId> others = nodes.stream().filter(node -> !node.equals(guard)).toList();
        return others.isEmpty() ? guard : highestHash(fingerprint, others);
    }

    /** Rendezvous hashing (Thaler and Ravishankar): the member whose hash, seeded with the fingerprint, is highest. */
    private static <T> T highestHash(long fingerprint, List<T> members) {
        T best = members.get(0);
        long bestHash = Fingerprint.of(best.toString(), fingerprint);
        for (T member : members) {
            long hash = Fingerprint.of(member.toString(), fingerprint);
            if (hash > bestHash) {
                best = member;
                bestHash = hash;
            }
        }
        return best;
    }

    private void dropExpired(long fingerprint, long nowMillis) {
        Placement placement = inFlight.get(fingerprint);
        if (placement == null) {
            return;
        }
        placement.copies().values().removeIf(copy -> copy.expiresAtMillis() <= nowMillis);
        if (placement.copies().isEmpty()) {
            inFlight.remove(fingerprint);
        }
    }

    private void recordFinished(long fingerprint) {
        finishedFingerprints.put(fingerprint, true);
        if (finishedFingerprints.size() > MAX_FINISHED_FINGERPRINTS) {
            finishedFingerprints.remove(finishedFingerprints.keySet().iterator().next());
        }
    }
}
