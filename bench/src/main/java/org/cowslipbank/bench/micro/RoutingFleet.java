package org.cowslipbank.bench.micro;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.decision.routing.LinkState;
import org.cowslipbank.decision.routing.RoutingCandidate;
import org.cowslipbank.decision.routing.RoutingDecision;
import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;
import org.cowslipbank.decision.routing.StoreLink;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Benchmarks the routing decision for a prompt of 32 pieces, 24 of them in a store, at a given fleet size. */
@State(Scope.Benchmark)
public class RoutingFleet {
    private static final int PIECES = 32;
    private static final int RETAINED_PIECES = 24;
    private static final int PIECE_TOKENS = 1_000;
    private static final long BLOCK_BYTES = 16_000_000;
    private static final TeamId TEAM = new TeamId("joinery");
    private static final ModelRef MODEL = new ModelRef("review", "v1", "");
    private static final StoreId STORE = new StoreId("store-1");

    /** Number of upstreams in the fleet. */
    @Param({"20", "600"})
    private int upstreams;

    private List<UpstreamId> fleet;
    private RoutingInput input;

    /** Prepares the fleet and the input of the routing decision. */
    @Setup
    public void prepare() {
        fleet = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            fleet.add(new UpstreamId("engine-" + i));
        }
        List<BlockIdentity> chain = new ArrayList<>();
        List<BlockRef> retained = new ArrayList<>();
        for (int piece = 0; piece < PIECES; piece++) {
            BlockIdentity identity = new BlockIdentity(TEAM, MODEL, piece, new BlockKey("key" + piece));
            chain.add(identity);
            if (piece < RETAINED_PIECES) {
                retained.add(new BlockRef(STORE, identity, 1, BLOCK_BYTES, piece, StoreTier.MEMORY));
            }
        }
        input = new RoutingInput(
                TEAM,
                MODEL,
                chain,
                PIECES * PIECE_TOKENS,
                PIECE_TOKENS,
                retained,
                subset().stream().map(RoutingFleet::candidate).toList(),
                List.of(new StoreLink(STORE, LinkState.UP, 1e9, 8e8, 2e8, 3 * BLOCK_BYTES, 2)),
                new DecisionWeights(1, 0.2, 0.1));
    }

    private static RoutingCandidate candidate(UpstreamId id) {
        int spread = Math.floorMod(id.value().hashCode(), 16);
        return new RoutingCandidate(
                id,
                UpstreamState.ACTIVE,
                MODEL,
                false,
                spread,
                spread / 4,
                32,
                spread * 500L,
                0,
                8_000,
                0.5,
                spread / 8);
    }

    /**
     * Selects the candidate subset for a session.
     *
     * @return the subset
     */
    @Benchmark
    public List<UpstreamId> subset() {
        return RoutingDecision.subset("joinery/session-1", fleet, RoutingDecision.SUBSET_SIZE);
    }

    /**
     * Chooses between the candidates of the subset.
     *
     * @return the outcome
     */
    @Benchmark
    public RoutingOutcome route() {
        return RoutingDecision.choose(input);
    }
}
