package org.cowslipbank.bench.demo;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.standins.EngineSize;
import org.cowslipbank.standins.StoreSize;

/**
 * Load and hardware of a deployment, scaled down to run in one process.
 *
 * @param name the deployment's name
 * @param region home region of its teams
 * @param weights weights of the routing decision
 * @param engine speed and size of each engine
 * @param store size of each store
 * @param minPromptBytes length of the shortest first prompt of a session, in bytes
 * @param maxPromptBytes length of the longest first prompt of a session, in bytes
 * @param sessionsPerSecond sessions started per second
 * @param ordersPerSecond non-repeatable calls sent per second
 */
public record Deployment(
        String name,
        String region,
        DecisionWeights weights,
        EngineSize engine,
        StoreSize store,
        int minPromptBytes,
        int maxPromptBytes,
        int sessionsPerSecond,
        int ordersPerSecond) {
    private static final StoreSize FAST_LINK_STORE = new StoreSize(60_000_000, 600_000_000, 60_000_000);
    private static final StoreSize SLOW_LINK_STORE = new StoreSize(60_000_000, 600_000_000, 12_000_000);

    /** Vacoas Lattice Software: time to first token has the largest weight. */
    public static final Deployment VACOAS = new Deployment(
            "vacoas",
            "mu-west",
            new DecisionWeights(1, 0.1, 0.05),
            new EngineSize(30_000, 10, 32, 24_000, 16, 300, 300, true),
            FAST_LINK_STORE,
            8_000,
            32_000,
            5,
            10);

    /** Confetes Serra Gaúcha: recomputation and link use have the largest weights; the store links are slow. */
    public static final Deployment CONFETES = new Deployment(
            "confetes",
            "rs-sul",
            new DecisionWeights(0.2, 1, 0.5),
            new EngineSize(30_000, 10, 32, 24_000, 16, 400, 300, false),
            SLOW_LINK_STORE,
            20_000,
            60_000,
            2,
            8);
}
