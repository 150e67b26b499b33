package org.cowslipbank.bench.routing;

import java.util.List;

/** Simulates the system in the queueing model through the loss of nodes, stores or engines. */
public final class RecoveryModel {
    /** Time of the loss, in milliseconds of the model's clock. */
    public static final long LOSS_MILLIS = 25 * 60_000;

    /** End of the simulation, in milliseconds of the model's clock. */
    public static final long END_MILLIS = 55 * 60_000;

    private static final double OFFERED_LOAD = 0.6;
    private static final double REPLACEMENT_DELAY_MILLIS = 60_000;
    private static final double PROCESS_START_MILLIS = 5_000;
    private static final double SLOW_PLATFORM_CALL_MILLIS = 1_000;
    private static final int PLATFORM_CALLS_BEFORE_READY = 2;

    private RecoveryModel() {}

    /** The part of the deployment that is lost. */
    public enum Loss {
        /** Nothing; the reference run. */
        NONE,
        /** One node; its replacement has empty memory. */
        NODE,
        /** One store; its replacement is empty. */
        STORE,
        /** One engine, two nodes and the store of a data centre at once. */
        HALF_DATA_CENTRE,
        /** All nodes restart at once while each call of the key-value service takes one second. */
        ALL_NODES
    }

    /**
     * Result of one simulation.
     *
     * @param returningPrompts the returning prompts in order of their first token
     * @param retainedSessions sessions with retained blocks at the end
     * @param retainedBlocks retained blocks at the end
     * @param hintUpdates updates of directory hints over the simulation, one for each finished prompt
     * @param nodes number of nodes
     */
    public record Result(
            List<ReturningPrompt> returningPrompts,
            long retainedSessions,
            long retainedBlocks,
            long hintUpdates,
            int nodes) {}

    /**
     * Simulates a workload during which a loss happens.
     *
     * @param interactive true for the Vacoas workload, false for Confetes
     * @param seed seed of the workload
     * @param loss part of the deployment that is lost
     * @param replicatedHints whether a second node keeps a copy of each hint
     * @return the returning prompts, and the state at the end
     */
    public static Result run(boolean interactive, long seed, Loss loss, boolean replicatedHints) {
        Workload workload = interactive ? Workload.vacoas() : Workload.confetes();
        List<Arrival> arrivals = new WorkloadGenerator(workload, seed).generate(OFFERED_LOAD, END_MILLIS);
        Simulation simulation = new Simulation(workload, Policy.SYSTEM, arrivals, 0);
        if (replicatedHints) {
            simulation.replicateHints();
        }
        simulation.run(END_MILLIS, faults(loss, workload));
        long[] retained = simulation.retainedCounts();
        return new Result(
                simulation.returningPrompts(), retained[0], retained[1], simulation.hintUpdates(), workload.nodes());
    }

    private static List<Fault> faults(Loss loss, Workload workload) {
        long replacedAtMillis = LOSS_MILLIS + (long) REPLACEMENT_DELAY_MILLIS;
        Fault storeDies = new Fault(LOSS_MILLIS, model -> model.killStore(0));
        Fault storeReplaced = new Fault(replacedAtMillis, model -> model.replaceStore(0));
        return switch (loss) {
            case NONE -> List.of();
            case NODE -> List.of(new Fault(LOSS_MILLIS, model -> model.restartNode(0, REPLACEMENT_DELAY_MILLIS)));
            case STORE -> List.of(storeDies, storeReplaced);
            case HALF_DATA_CENTRE -> List.of(storeDies, storeReplaced, new Fault(LOSS_MILLIS, model -> {
                model.restartEngine(0, REPLACEMENT_DELAY_MILLIS);
                model.restartNode(0, REPLACEMENT_DELAY_MILLIS);
                model.restartNode(1, REPLACEMENT_DELAY_MILLIS);
            }));
            case ALL_NODES -> List.of(new Fault(LOSS_MILLIS, model -> restartAll(model, workload.nodes())));
        };
    }

    // A node accepts requests only after it has read a confirmed configuration.
    private static void restartAll(Simulation model, int nodes) {
        double downMillis = PROCESS_START_MILLIS + PLATFORM_CALLS_BEFORE_READY * SLOW_PLATFORM_CALL_MILLIS;
        for (int node = 0; node < nodes; node++) {
            model.restartNode(node, downMillis);
        }
    }
}
