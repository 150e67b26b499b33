package org.cowslipbank.bench.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.decision.routing.LinkState;
import org.cowslipbank.decision.routing.RoutingCandidate;
import org.cowslipbank.decision.routing.RoutingDecision;
import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;
import org.cowslipbank.decision.routing.StoreLink;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.UpstreamId;

/**
 * A policy by which the nodes route, fetch and export.
 *
 * @param name name in the figures
 * @param rule routing rule
 * @param subsetSize number of candidate upstreams of a session
 * @param usesStores whether blocks are exported and fetched
 * @param oracle whether it knows the exact queues and links and the future returns
 * @param recomputesLateFetches whether recomputation may replace the rest of a late fetch
 * @param prefetches whether an endpoint lookup starts a prefetch
 */
record Policy(
        String name,
        RouteRule rule,
        int subsetSize,
        boolean usesStores,
        boolean oracle,
        boolean recomputesLateFetches,
        boolean prefetches) {
    static final Policy SYSTEM = system("system", RoutingDecision.SUBSET_SIZE, true, true);
    static final Policy TWO_CANDIDATES = system("two_candidates", 2, true, true);
    static final Policy NO_PREFETCH = system("no_prefetch", RoutingDecision.SUBSET_SIZE, true, false);
    static final Policy NO_OVERTAKE = system("no_overtake", RoutingDecision.SUBSET_SIZE, false, true);
    static final Policy ORACLE =
            new Policy("oracle", Policy::decide, RoutingDecision.SUBSET_SIZE, true, true, true, true);

    static final Policy AFFINITY = withoutStores("affinity", Policy::affinity);

    /** Ablations: the system with fewer candidates or without one of its mechanisms. */
    static final List<Policy> ABLATIONS = List.of(TWO_CANDIDATES, NO_PREFETCH, NO_OVERTAKE);

    /** The baselines that the system must not fall behind. */
    static final List<Policy> BASELINES = List.of(
            withoutStores("random", Policy::random),
            withoutStores("least_loaded", Policy::leastLoaded),
            AFFINITY,
            new Policy("fetch_always", Policy::fetchAlways, RoutingDecision.SUBSET_SIZE, true, false, false, false),
            withoutStores("recompute_always", Policy::decide));

    private static Policy system(String name, int subsetSize, boolean recomputesLateFetches, boolean prefetches) {
        return new Policy(name, Policy::decide, subsetSize, true, false, recomputesLateFetches, prefetches);
    }

    private static Policy withoutStores(String name, RouteRule rule) {
        return new Policy(name, rule, RoutingDecision.SUBSET_SIZE, false, false, false, false);
    }

    private static RoutingOutcome decide(RoutingInput input, String sessionKey) {
        return RoutingDecision.choose(input);
    }

    // The prompt length is part of the hash and grows at each return, so a session moves between engines.
    private static RoutingOutcome random(RoutingInput input, String sessionKey) {
        long keyHash = Hashing.komihash5_0().hashCharsToLong(sessionKey);
        long hash = Hashing.komihash5_0().hashLongLongToLong(keyHash, input.promptTokens());
        int index = (int) Long.remainderUnsigned(hash, input.candidates().size());
        return routeTo(input.candidates().get(index), List.of());
    }

    private static RoutingOutcome leastLoaded(RoutingInput input, String sessionKey) {
        return routeTo(leastBy(input, Policy::queuedTokens), List.of());
    }

    private static double queuedTokens(RoutingCandidate candidate) {
        return candidate.waitingPromptTokens() + candidate.sentPromptTokens();
    }

    private static RoutingCandidate leastBy(RoutingInput input, ToDoubleFunction<RoutingCandidate> measure) {
        RoutingCandidate least = input.candidates().get(0);
        for (RoutingCandidate candidate : input.candidates()) {
            if (measure.applyAsDouble(candidate) < measure.applyAsDouble(least)) {
                least = candidate;
            }
        }
        return least;
    }

    private static RoutingOutcome affinity(RoutingInput input, String sessionKey) {
        List<UpstreamId> ids =
                input.candidates().stream().map(RoutingCandidate::upstream).toList();
        UpstreamId home = RoutingDecision.subset(sessionKey, ids, 1).get(0);
        RoutingCandidate candidate = input.candidates().get(ids.indexOf(home));
        return routeTo(candidate, List.of());
    }

    private static RoutingOutcome fetchAlways(RoutingInput input, String sessionKey) {
        RoutingCandidate candidate = leastBy(input, Policy::queuedTokens);
        List<BlockRef> retained = input.retained();
        int local = candidate.localBlocks();
        if (retained.size() <= local || isDown(input, retained.get(0))) {
            return routeTo(candidate, List.of());
        }
        return routeTo(candidate, retained.subList(local, retained.size()));
    }

    private static boolean isDown(RoutingInput input, BlockRef block) {
        for (StoreLink link : input.links()) {
            if (link.store().equals(block.store())) {
                return link.state() == LinkState.DOWN;
            }
        }
        return true;
    }

    private static RoutingOutcome routeTo(RoutingCandidate candidate, List<BlockRef> fetch) {
        return new RoutingOutcome(
                RoutingOutcome.Result.CHOSEN, candidate.upstream(), candidate.localBlocks(), fetch, 0, 0, 0, 0);
    }
}
