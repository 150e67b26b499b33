package org.cowslipbank.bench.routing;

import java.util.List;

import org.cowslipbank.config.DecisionWeights;

/**
 * A simulated deployment and the request patterns of its teams.
 *
 * @param name name in the figures
 * @param weights weights of the routing and retention decisions
 * @param engines number of engines
 * @param nodes number of nodes
 * @param stores number of stores
 * @param oneWayMillis one-way latency between data centres in milliseconds
 * @param prefillTokensPerSecond prompt tokens that an engine computes per second
 * @param blockBytes length in bytes of a block of 1,000 tokens
 * @param linkBytesPerSecond rate of a store's link in bytes per second
 * @param diskBytesPerSecond rate of a store's disk in bytes per second
 * @param engineCacheBlocks capacity of an engine's cache in blocks
 * @param storeMemoryBytes memory of a store in bytes
 * @param storeDiskBytes disk of a store in bytes
 * @param teams request patterns of the teams
 */
record Workload(
        String name,
        DecisionWeights weights,
        int engines,
        int nodes,
        int stores,
        double oneWayMillis,
        double prefillTokensPerSecond,
        long blockBytes,
        double linkBytesPerSecond,
        double diskBytesPerSecond,
        int engineCacheBlocks,
        long storeMemoryBytes,
        long storeDiskBytes,
        List<TeamProfile> teams) {
    static final int BLOCK_TOKENS = 1_000;

    private static final long BYTES_PER_GIGABYTE = 1_000_000_000L;
    private static final double MILLIS_PER_MINUTE = 60_000;

    /** Interactive configurators: time to first token weighs most. Store links of 25 Gbit/s. */
    static Workload vacoas() {
        return new Workload(
                "vacoas",
                new DecisionWeights(1, 0.2, 0.05),
                6,
                8,
                2,
                1.5,
                10_000,
                64_000_000,
                3.1 * BYTES_PER_GIGABYTE,
                2.0 * BYTES_PER_GIGABYTE,
                150,
                256 * BYTES_PER_GIGABYTE,
                1_000 * BYTES_PER_GIGABYTE,
                List.of(
                        review(0.26),
                        assistant(0.22),
                        review(0.14),
                        fitCheck(0.10),
                        assistant(0.07),
                        review(0.06),
                        fitCheck(0.05),
                        assistant(0.04),
                        assistant(0.03),
                        review(0.03)));
    }

    /** Long drafts: recomputed share and link use weigh most. Store links of 10 Gbit/s. */
    static Workload confetes() {
        return new Workload(
                "confetes",
                new DecisionWeights(0.1, 1, 0.3),
                6,
                8,
                2,
                0.9,
                6_000,
                64_000_000,
                1.25 * BYTES_PER_GIGABYTE,
                2.0 * BYTES_PER_GIGABYTE,
                150,
                256 * BYTES_PER_GIGABYTE,
                1_000 * BYTES_PER_GIGABYTE,
                List.of(
                        draft(0.25),
                        draft(0.20),
                        specification(0.16),
                        colourBatch(0.12),
                        specification(0.08),
                        colourBatch(0.06),
                        draft(0.05),
                        specification(0.04),
                        draft(0.02),
                        specification(0.02)));
    }

    private static TeamProfile review(double share) {
        return new TeamProfile(share, true, 0.90, 7 * MILLIS_PER_MINUTE, 8_000, 20_000, 3_000);
    }

    private static TeamProfile assistant(double share) {
        return new TeamProfile(share, true, 0.85, 4 * MILLIS_PER_MINUTE, 4_000, 10_000, 2_000);
    }

    private static TeamProfile fitCheck(double share) {
        return new TeamProfile(share, false, 0.02, 5 * MILLIS_PER_MINUTE, 2_000, 5_000, 1_000);
    }

    private static TeamProfile draft(double share) {
        return new TeamProfile(share, true, 0.92, 10 * MILLIS_PER_MINUTE, 10_000, 25_000, 3_000);
    }

    private static TeamProfile specification(double share) {
        return new TeamProfile(share, true, 0.85, 6 * MILLIS_PER_MINUTE, 6_000, 15_000, 2_000);
    }

    private static TeamProfile colourBatch(double share) {
        return new TeamProfile(share, false, 0.02, 5 * MILLIS_PER_MINUTE, 2_000, 4_000, 1_000);
    }

    double blockTransferMillis() {
        return blockBytes * 1_000 / linkBytesPerSecond;
    }

    double blockPrefillMillis() {
        return BLOCK_TOKENS * 1_000.0 / prefillTokensPerSecond;
    }
}
