package org.cowslipbank.bench.routing;

import java.util.List;

/** Runs the system in the queueing model through one loss. */
public final class RecoveryModel {
    /** When the loss happens, in milliseconds of the model's clock. */
    public static final long LOSS_MILLIS = 25 * 60_000;

    /** When the model stops, in milliseconds of its clock. */
    public static final long END_MILLIS = 55 * 60_000;

    private static final double LOAD = 0.6;
    private static final double REPLACE_MILLIS = 60_000;
    private static final double PROCESS_START_MILLIS = 5_000;
    private static final double SLOW_PLATFORM_CALL_MILLIS = 1_000;
    private static final int CALLS_BEFORE_READY = 2;

    private RecoveryModel() {}

    /** What is lost. */
    public enum Loss {
        /** Nothing, for comparison. */
        NONE,
        /** One node; its replacement has empty memory. */
        NODE,
        /** One store; its replacement is empty. */
        STORE,
        /** One engine, two nodes and the store of a data centre at once. */
        HALF_DATA_CENTRE,
        /** All nodes restart at once while a call of the key-value service takes a second. */
        ALL_NODES
    }

    /**
     * Result of one run.
     *
     * @param samples the returning prompts in order of their first token
     * @param sessions sessions with retained blocks at the end
     * @param blocks retained blocks at the end
     * @param hintUpdates changes of hints over the run, one for each finished prompt
     * @param nodes number of nodes
     */
    public record Result(List<Sample> samples, long sessions, long blocks, long hintUpdates, int nodes) {}

    /**
     * Runs a workload through a loss.
     *
     * @param interactive true for Vacoas, false for Confetes
     * @param seed seed of the workload
     * @param loss what is lost
     * @param replicatedHints whether a second node keeps a copy of all hints
     * @return the result
     */
    public static Result run(boolean interactive, long seed, Loss loss, boolean replicatedHints) {
        Workload workload = interactive ? Workload.vacoas() : Workload.confetes();
        List<Arrival> arrivals = new WorkloadGenerator(workload, seed).generate(LOAD, END_MILLIS);
        Simulation simulation = new Simulation(workload, Policy.SYSTEM, arrivals, 0);
        if (replicatedHints) {
            simulation.replicateHints();
        }
        simulation.run(END_MILLIS, faults(loss, workload));
        long[] retained = simulation.retained();
        return new Result(simulation.samples(), retained[0], retained[1], simulation.hintUpdates(), workload.nodes());
    }

    private static List<Fault> faults(Loss loss, Workload workload) {
        long replaced = LOSS_MILLIS + (long) REPLACE_MILLIS;
        Fault storeDies = new Fault(LOSS_MILLIS, model -> model.killStore(0));
        Fault storeReplaced = new Fault(replaced, model -> model.replaceStore(0));
        return switch (loss) {
            case NONE -> List.of();
            case NODE -> List.of(new Fault(LOSS_MILLIS, model -> model.restartNode(0, REPLACE_MILLIS)));
            case STORE -> List.of(storeDies, storeReplaced);
            case HALF_DATA_CENTRE -> List.of(storeDies, storeReplaced, new Fault(LOSS_MILLIS, model -> {
                model.restartEngine(0, REPLACE_MILLIS);
                model.restartNode(0, REPLACE_MILLIS);
                model.restartNode(1, REPLACE_MILLIS);
            }));
            case ALL_NODES -> List.of(new Fault(LOSS_MILLIS, model -> restartAll(model, workload.nodes())));
        };
    }

    // A node accepts requests only after it has read a confirmed configuration.
    private static void restartAll(Simulation model, int nodes) {
        double downMillis = PROCESS_START_MILLIS + CALLS_BEFORE_READY * SLOW_PLATFORM_CALL_MILLIS;
        for (int node = 0; node < nodes; node++) {
            model.restartNode(node, downMillis);
        }
    }
}
