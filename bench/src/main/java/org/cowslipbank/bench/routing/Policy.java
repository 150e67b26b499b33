package org.cowslipbank.bench.routing;

import java.util.List;
import java.util.function.ToDoubleFunction;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.decision.routing.Candidate;
import org.cowslipbank.decision.routing.LinkState;
import org.cowslipbank.decision.routing.RoutingDecision;
import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;
import org.cowslipbank.decision.routing.StoreLink;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.UpstreamId;

/**
 * A way of serving the workload.
 *
 * @param name the name used in figures
 * @param rule how an upstream is chosen
 * @param subsetSize how many candidates there are
 * @param stores whether blocks are exported and fetched
 * @param oracle whether it sees the exact queues, links and future returns
 * @param overtakes whether a late fetch is overtaken by recompute
 * @param prefetches whether an address lookup starts a fetch
 */
record Policy(
        String name,
        RouteRule rule,
        int subsetSize,
        boolean stores,
        boolean oracle,
        boolean overtakes,
        boolean prefetches) {
    static final Policy SYSTEM = system("system", RoutingDecision.SUBSET_SIZE, true, true);
    static final Policy TWO_CANDIDATES = system("two_candidates", 2, true, true);
    static final Policy NO_PREFETCH = system("no_prefetch", RoutingDecision.SUBSET_SIZE, true, false);
    static final Policy NO_OVERTAKE = system("no_overtake", RoutingDecision.SUBSET_SIZE, false, true);
    static final Policy ORACLE =
            new Policy("oracle", Policy::decide, RoutingDecision.SUBSET_SIZE, true, true, true, true);

    static final Policy AFFINITY = storeless("affinity", Policy::affinity);

    /** The system without one of its parts. */
    static final List<Policy> VARIANTS = List.of(TWO_CANDIDATES, NO_PREFETCH, NO_OVERTAKE);

    /** The baselines that the system must not be worse than. */
    static final List<Policy> BASELINES = List.of(
            storeless("random", Policy::random),
            storeless("least_loaded", Policy::leastLoaded),
            AFFINITY,
            new Policy("fetch_always", Policy::fetchAlways, RoutingDecision.SUBSET_SIZE, true, false, false, false),
            storeless("recompute_always", Policy::decide));

    private static Policy system(String name, int subsetSize, boolean overtakes, boolean prefetches) {
        return new Policy(name, Policy::decide, subsetSize, true, false, overtakes, prefetches);
    }

    private static Policy storeless(String name, RouteRule rule) {
        return new Policy(name, rule, RoutingDecision.SUBSET_SIZE, false, false, false, false);
    }

    private static RoutingOutcome decide(RoutingInput input, String sessionKey) {
        return RoutingDecision.choose(input);
    }

    // The prompt's length differs at each return, so a session does not stay at one engine.
    private static RoutingOutcome random(RoutingInput input, String sessionKey) {
        long keyHash = Hashing.komihash5_0().hashCharsToLong(sessionKey);
        long hash = Hashing.komihash5_0().hashLongLongToLong(keyHash, input.promptTokens());
        int index = (int) Long.remainderUnsigned(hash, input.candidates().size());
        return at(input.candidates().get(index), List.of());
    }

    private static RoutingOutcome leastLoaded(RoutingInput input, String sessionKey) {
        return at(least(input, Policy::load), List.of());
    }

    private static double load(Candidate candidate) {
        return candidate.waitingPromptTokens() + candidate.sentPromptTokens();
    }

    private static Candidate least(RoutingInput input, ToDoubleFunction<Candidate> measure) {
        Candidate least = input.candidates().get(0);
        for (Candidate candidate : input.candidates()) {
            if (measure.applyAsDouble(candidate) < measure.applyAsDouble(least)) {
                least = candidate;
            }
        }
        return least;
    }

    private static RoutingOutcome affinity(RoutingInput input, String sessionKey) {
        List<UpstreamId> ids =
                input.candidates().stream().map(Candidate::upstream).toList();
        UpstreamId home = RoutingDecision.subset(sessionKey, ids, 1).get(0);
        Candidate candidate = input.candidates().get(ids.indexOf(home));
        return at(candidate, List.of());
    }

    private static RoutingOutcome fetchAlways(RoutingInput input, String sessionKey) {
        Candidate candidate = least(input, Policy::load);
        List<BlockRef> retained = input.retained();
        int local = candidate.localBlocks();
        if (retained.size() <= local || isDown(input, retained.get(0))) {
            return at(candidate, List.of());
        }
        return at(candidate, retained.subList(local, retained.size()));
    }

    private static boolean isDown(RoutingInput input, BlockRef block) {
        for (StoreLink link : input.links()) {
            if (link.store().equals(block.store())) {
                return link.state() == LinkState.DOWN;
            }
        }
        return true;
    }

    private static RoutingOutcome at(Candidate candidate, List<BlockRef> fetch) {
        return new RoutingOutcome(
                RoutingOutcome.Result.CHOSEN, candidate.upstream(), candidate.localBlocks(), fetch, 0, 0, 0, 0);
    }
}
