package org.cowslipbank.decision.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.UpstreamId;

/** Chooses the upstream of a prompt and the number of retained blocks that it fetches. */
public final class RoutingDecision {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<RoutingInput, RoutingOutcome> ROUTE =
            new Decision<>("route", RoutingInput.class, RoutingOutcome.class, RoutingDecision::choose);

    /** Maximum number of candidates per request; it bounds the cost of a decision. */
    public static final int SUBSET_SIZE = 20;

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private RoutingDecision() {}

    /**
     * Returns the candidate upstreams for requests with a key: those with the highest rendezvous weights, so that all
     * nodes agree and adding or removing an upstream changes few subsets.
     *
     * @param key team and session key, or the request identifier if there is no session
     * @param upstreams the upstreams that may serve the model and are not leaving
     * @param size maximum size of the subset
     * @return the subset, highest weight first
     */
    public static List<UpstreamId> subset(String key, List<UpstreamId> upstreams, int size) {
        long keyHash = HASHER.hashCharsToLong(key);
        UpstreamId[] chosen = new UpstreamId[size];
        long[] weights = new long[size];
        int count = 0;
        for (UpstreamId upstream : upstreams) {
            long weight = HASHER.hashLongLongToLong(keyHash, HASHER.hashCharsToLong(upstream.value()));
            count = insertByWeight(chosen, weights, count, upstream, weight);
        }
        return List.copyOf(Arrays.asList(chosen).subList(0, count));
    }

    private static int insertByWeight(
            UpstreamId[] chosen, long[] weights, int count, UpstreamId upstream, long weight) {
        int index = count;
        while (index > 0 && weights[index - 1] < weight) {
            index--;
        }
        if (index >= chosen.length) {
            return count;
        }
        int newCount = Math.min(count + 1, chosen.length);
        System.arraycopy(chosen, index, chosen, index + 1, newCount - index - 1);
        System.arraycopy(weights, index, weights, index + 1, newCount - index - 1);
        chosen[index] = upstream;
        weights[index] = weight;
        return newCount;
    }

    /**
     * Chooses the candidate and split point with the lowest weighted cost. A candidate that is leaving, is loading
     * weights, or has another weight version loaded is never chosen. A block whose identity differs from that of the
     * prompt's piece is never fetched.
     *
     * @param input the snapshot to decide on
     * @return the chosen upstream with its split point, or the reason why there is none
     */
    public static RoutingOutcome choose(RoutingInput input) {
        List<RoutingCandidate> eligible = new ArrayList<>(input.candidates().size());
        boolean anyActive = false;
        for (RoutingCandidate candidate : input.candidates()) {
            if (candidate.state() != UpstreamState.ACTIVE) {
                continue;
            }
            anyActive = true;
            if (!candidate.loading() && input.model().equals(candidate.loaded())) {
                eligible.add(candidate);
            }
        }
        if (eligible.isEmpty()) {
            return RoutingOutcome.none(
                    anyActive ? RoutingOutcome.Result.NO_MATCHING_VERSION : RoutingOutcome.Result.NO_ACTIVE_UPSTREAM);
        }
        SplitPointSearch search = new SplitPointSearch(input);
        eligible.forEach(search::evaluate);
        return search.outcome();
    }
}
