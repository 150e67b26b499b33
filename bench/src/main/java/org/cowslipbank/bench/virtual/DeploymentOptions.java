package org.cowslipbank.bench.virtual;

/**
 * Size, timing and faults of a simulated deployment.
 *
 * @param seed seed of every random source
 * @param nodes number of entry nodes
 * @param engines number of engines
 * @param dataCentres number of data centres, over which the engines are spread evenly
 * @param slots runs that fit in an engine's batch
 * @param prefillMillis time in milliseconds from the start of a run to its first token
 * @param serialPrefill true if an engine computes only one prompt at a time
 * @param tokenMillis time in milliseconds between two tokens
 * @param restartMillis time in milliseconds until a crashed engine is up again
 * @param swapAborts true if a weight load aborts the runs of the old version
 * @param faults fault probabilities of the links from engines to nodes
 * @param admission true if the nodes apply admission control
 */
public record DeploymentOptions(
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
     * Returns the default deployment of 3 nodes and 6 engines, without faults and admission control.
     *
     * @param seed seed of every random source
     * @return the options
     */
    public static DeploymentOptions defaults(long seed) {
        return new DeploymentOptions(seed, 3, 6, 3, 16, 150, false, 33, 4_000, true, LinkFaults.NONE, false);
    }

    /**
     * Returns a copy of the options with other link faults.
     *
     * @param changed the link faults
     * @return the options
     */
    public DeploymentOptions withFaults(LinkFaults changed) {
        return new DeploymentOptions(
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
