package org.cowslipbank.decision.suspects;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/**
 * Keeps copies of one request together. A node is the guard of the fingerprints that hash to it. Not thread-safe: the
 * control loop calls it.
 */
public final class CopyGuard {
    /** Fingerprints that are remembered as proven. */
    static final int PROVEN_LIMIT = 20_000;

    private final Map<Long, Copies> inFlight = new HashMap<>();
    private final Map<Long, Boolean> proven = new LinkedHashMap<>();
    private final long maxRunMillis;

    /**
     * Creates a guard without copies.
     *
     * @param maxRunMillis longest run; a copy that is not reported as ended is forgotten after it
     */
    public CopyGuard(long maxRunMillis) {
        this.maxRunMillis = maxRunMillis;
    }

    private record Copies(UpstreamId upstream, Map<AttemptId, Holder> holders) {}

    private record Holder(VmId node, long untilMillis) {}

    /** What a node may do with a request. */
    public enum Verdict {
        /** Send it to the named upstream. */
        SEND,
        /** It is a suspect: ask the arbiter. */
        ASK_ARBITER,
        /** It is refused everywhere. */
        REFUSE
    }

    /**
     * Answer of the guard.
     *
     * @param verdict the verdict
     * @param upstream where to send it; null unless the verdict is {@link Verdict#SEND}
     */
    public record Answer(Verdict verdict, UpstreamId upstream) {}

    /**
     * Asks where a request may be sent.
     *
     * @param fingerprint the request's fingerprint
     * @param attempt the attempt that would be sent
     * @param node the node that asks
     * @param preferred the upstream that routing chose
     * @param facts what the guard knows of crashes
     * @param nowMillis the time in milliseconds
     * @return the answer; after {@link Verdict#SEND} the node reports the end of the run
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
        if (proven.containsKey(fingerprint)) {
            return new Answer(Verdict.SEND, preferred);
        }
        expire(fingerprint, nowMillis);
        Copies copies = inFlight.computeIfAbsent(fingerprint, print -> new Copies(preferred, new HashMap<>()));
        copies.holders().put(attempt, new Holder(node, nowMillis + maxRunMillis));
        return new Answer(Verdict.SEND, copies.upstream());
    }

    /**
     * Takes over a copy that was placed by an earlier guard. Nodes report the copies that they have in flight when the
     * guard of their fingerprints changes. A copy that is known already is not counted twice.
     *
     * @param fingerprint the request's fingerprint
     * @param attempt the attempt
     * @param node the node that sent it
     * @param upstream where it runs
     * @param nowMillis the time in milliseconds
     */
    public void restore(long fingerprint, AttemptId attempt, VmId node, UpstreamId upstream, long nowMillis) {
        Copies copies = inFlight.computeIfAbsent(fingerprint, print -> new Copies(upstream, new HashMap<>()));
        copies.holders().put(attempt, new Holder(node, nowMillis + maxRunMillis));
    }

    /**
     * Notes that a copy has ended.
     *
     * @param fingerprint the request's fingerprint
     * @param attempt the attempt
     * @param finished true if it ran to its end, which proves it
     */
    public void ended(long fingerprint, AttemptId attempt, boolean finished) {
        if (finished) {
            prove(fingerprint);
        }
        Copies copies = inFlight.get(fingerprint);
        if (copies == null) {
            return;
        }
        copies.holders().remove(attempt);
        if (copies.holders().isEmpty()) {
            inFlight.remove(fingerprint);
        }
    }

    /**
     * Forgets the copies of a node that is dead; its connections are gone and engines cancel its runs.
     *
     * @param node the node
     */
    public void nodeDied(VmId node) {
        inFlight.values().forEach(copies -> copies.holders().values().removeIf(holder -> holder.node()
                .equals(node)));
        inFlight.values().removeIf(copies -> copies.holders().isEmpty());
    }

    /**
     * Tells whether no copy of a request is in flight in this region, for an arbiter that wants to grant a run.
     *
     * @param fingerprint the fingerprint
     * @param nowMillis the time in milliseconds
     * @return true if none is
     */
    public boolean noCopyInFlight(long fingerprint, long nowMillis) {
        expire(fingerprint, nowMillis);
        return !inFlight.containsKey(fingerprint);
    }

    /**
     * Names the upstream for a request whose guard does not answer. All nodes with the same upstreams name the same
     * one.
     *
     * @param fingerprint the fingerprint
     * @param upstreams the upstreams that take new work, at least one
     * @return the upstream
     */
    public static UpstreamId fallback(long fingerprint, List<UpstreamId> upstreams) {
        return highest(fingerprint, upstreams);
    }

    /**
     * Names the guard of a fingerprint.
     *
     * @param fingerprint the fingerprint
     * @param nodes live nodes of the region, at least one
     * @return the guard
     */
    public static VmId guardOf(long fingerprint, List<VmId> nodes) {
        return highest(fingerprint, nodes);
    }

    /**
     * Names the node that becomes the guard when the guard leaves. Crash facts are reported to it too, so that it knows
     * them before it is asked.
     *
     * @param fingerprint the fingerprint
     * @param nodes live nodes of the region, at least one
     * @return the next guard; the guard itself if it is the only node
     */
    public static VmId nextGuardOf(long fingerprint, List<VmId> nodes) {
        VmId guard = guardOf(fingerprint, nodes);
        List<VmId> others = nodes.stream().filter(node -> !node.equals(guard)).toList();
        return others.isEmpty() ? guard : highest(fingerprint, others);
    }

    /** Rendezvous hashing (Thaler and Ravishankar): the member with the highest hash together with the key. */
    private static <T> T highest(long fingerprint, List<T> members) {
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

    private void expire(long fingerprint, long nowMillis) {
        Copies copies = inFlight.get(fingerprint);
        if (copies == null) {
            return;
        }
        copies.holders().values().removeIf(holder -> holder.untilMillis() <= nowMillis);
        if (copies.holders().isEmpty()) {
            inFlight.remove(fingerprint);
        }
    }

    private void prove(long fingerprint) {
        proven.put(fingerprint, true);
        if (proven.size() > PROVEN_LIMIT) {
            proven.remove(proven.keySet().iterator().next());
        }
    }
}
