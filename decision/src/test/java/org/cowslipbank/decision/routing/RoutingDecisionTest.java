package org.cowslipbank.decision.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.Example;
import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;

final class RoutingDecisionTest {
    private static final TeamId TEAM = new TeamId("joinery");
    private static final ModelRef MODEL = new ModelRef("kit", "v2", "");
    private static final StoreId STORE = new StoreId("s1");
    private static final int BLOCKS = 8;
    private static final int BLOCK_BYTES = 64_000_000;

    /** Guards promise P7 against choosing a leaving upstream because it is idle. */
    @Example
    boolean leavingUpstreamIsNeverChosen() {
        RoutingCandidate leaving = candidate("idle", UpstreamState.LEAVING, MODEL, 0);
        RoutingCandidate busy = candidate("busy", UpstreamState.ACTIVE, MODEL, 1_000_000);
        RoutingOutcome both = choose(chain(TEAM, MODEL), List.of(leaving, busy), LinkState.UP, 4e9);
        RoutingOutcome alone = choose(chain(TEAM, MODEL), List.of(leaving), LinkState.UP, 4e9);
        return busy.upstream().equals(both.upstream()) && alone.result() == RoutingOutcome.Result.NO_ACTIVE_UPSTREAM;
    }

    /** Guards promise P3 against running a request on an upstream with another weight version. */
    @Example
    boolean otherWeightVersionIsNeverChosen() {
        RoutingCandidate old = candidate("old", UpstreamState.ACTIVE, new ModelRef("kit", "v1", ""), 0);
        RoutingOutcome outcome = choose(chain(TEAM, MODEL), List.of(old), LinkState.UP, 4e9);
        return outcome.result() == RoutingOutcome.Result.NO_MATCHING_VERSION;
    }

    /**
     * Guards promises P2 and P3 against fetching a block of another team or weight version with the same key or index.
     */
    @Example
    boolean foreignBlocksAreNeverFetched() {
        return fetched(chain(new TeamId("other"), MODEL), LinkState.UP, 4e9) == 0
                && fetched(chain(TEAM, new ModelRef("kit", "v1", "")), LinkState.UP, 4e9) == 0
                && fetched(chain(TEAM, MODEL), LinkState.UP, 4e9) == BLOCKS;
    }

    /** Guards against fetching blocks after a missing one, which an engine cannot use. */
    @Example
    boolean blocksAfterAMissingBlockAreNotFetched() {
        List<BlockIdentity> withGap = new ArrayList<>(chain(TEAM, MODEL));
        withGap.remove(3);
        return fetched(withGap, LinkState.UP, 4e9) == 3;
    }

    /** Guards against waiting for a dead store or a slow link. */
    @Example
    boolean deadStoreAndSlowLinkAreRecomputed() {
        return fetched(chain(TEAM, MODEL), LinkState.DOWN, 4e9) == 0
                && fetched(chain(TEAM, MODEL), LinkState.UP, 4e7) == 0;
    }

    /** Guards against nodes that disagree on a subset, or that change more of it than the one upstream that left. */
    @Example
    boolean subsetLosesOnlyTheUpstreamThatLeft() {
        List<UpstreamId> all =
                IntStream.range(0, 600).mapToObj(i -> new UpstreamId("u" + i)).toList();
        List<UpstreamId> subset = RoutingDecision.subset("t/s", all, 20);
        UpstreamId left = subset.get(4);
        List<UpstreamId> rest = all.stream().filter(id -> !id.equals(left)).toList();
        List<UpstreamId> after = RoutingDecision.subset("t/s", rest, 20);
        List<UpstreamId> kept = subset.stream().filter(id -> !id.equals(left)).toList();
        return after.size() == 20 && !after.contains(left) && after.containsAll(kept);
    }

    private static int fetched(List<BlockIdentity> retained, LinkState state, double rate) {
        List<RoutingCandidate> candidates = List.of(candidate("a", UpstreamState.ACTIVE, MODEL, 0));
        return choose(retained, candidates, state, rate).fetch().size();
    }

    private static RoutingOutcome choose(
            List<BlockIdentity> retained, List<RoutingCandidate> candidates, LinkState state, double rate) {
        List<BlockRef> refs = retained.stream()
                .map(identity -> new BlockRef(STORE, identity, 1, BLOCK_BYTES, 7, StoreTier.MEMORY))
                .toList();
        StoreLink link = new StoreLink(STORE, state, 4e9, rate, rate, 0, 3);
        return RoutingDecision.choose(new RoutingInput(
                TEAM,
                MODEL,
                chain(TEAM, MODEL),
                BLOCKS * 1_000 + 500,
                1_000,
                refs,
                candidates,
                List.of(link),
                new DecisionWeights(1, 0, 0)));
    }

    private static RoutingCandidate candidate(String id, UpstreamState state, ModelRef loaded, long waitingTokens) {
        return new RoutingCandidate(
                new UpstreamId(id), state, loaded, false, 0, 0, 64, waitingTokens, 0, 10_000, 1.5, 0);
    }

    // The keys are equal for all teams and versions, so only the other identity fields distinguish the blocks.
    private static List<BlockIdentity> chain(TeamId team, ModelRef model) {
        return IntStream.range(0, BLOCKS)
                .mapToObj(i -> new BlockIdentity(team, model, i, new BlockKey("k" + i)))
                .toList();
    }
}
