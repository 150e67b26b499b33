package org.cowslipbank.bench.virtual;

/**
 * Size and behaviour of a world.
 *
 * @param seed seed of every random source
 * @param nodes entry nodes
 * @param engines engines
 * @param dataCentres data centres over which the engines are spread
 * @param slots runs in an engine's batch
 * @param prefillMillis time from the start of a run to its first token
 * @param serialPrefill true if an engine computes one prompt at a time
 * @param tokenMillis time between two tokens
 * @param restartMillis time after which a crashed engine is up again
 * @param swapAborts true if a weight load ends the runs of the old version
 * @param faults faults of the links
 * @param admission true if the nodes limit and queue requests
 */
public record WorldOptions(
        long seed,
        int nodes,
        int engines,
        int dataCentres,
        int slots,
        long prefillMillis,
        boolean serialPrefill,
        long tokenMillis,
        long restartMillis,
        boolean swapAborts,
        LinkFaults faults,
        boolean admission) {
    /**
     * Returns a world of today's size without faults.
     *
     * @param seed the seed
     * @return the options
     */
    public static WorldOptions today(long seed) {
        return new WorldOptions(seed, 3, 6, 3, 16, 150, false, 33, 4_000, true, LinkFaults.NONE, false);
    }

    /**
     * Returns the options with other link faults.
     *
     * @param changed the faults
     * @return the options
     */
    public WorldOptions with(LinkFaults changed) {
        return new WorldOptions(
                seed,
                nodes,
                engines,
                dataCentres,
                slots,
                prefillMillis,
                serialPrefill,
                tokenMillis,
                restartMillis,
                swapAborts,
                changed,
                admission);
    }
}
