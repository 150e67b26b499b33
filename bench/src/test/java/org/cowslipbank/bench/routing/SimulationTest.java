package org.cowslipbank.bench.routing;

import java.util.List;

import net.jqwik.api.Example;

final class SimulationTest {
    private static final long END_MILLIS = 20 * 60_000;

    /** Guards against a benchmark whose figures are not reproducible from its seed. */
    @Example
    boolean equalSeedsGiveEqualFigures() {
        PolicyMeasurements first = run(List.of());
        PolicyMeasurements second = run(List.of());
        return first.p95Millis() == second.p95Millis() && first.linkBytes() == second.linkBytes();
    }

    /** Guards against requests that stay unanswered after a store, engine or node dies. */
    @Example
    boolean lossesLeaveNoRequestUnanswered() {
        PolicyMeasurements undisturbed = run(List.of());
        PolicyMeasurements disturbed = run(List.of(
                new Fault(300_000, model -> model.killStore(0)),
                new Fault(310_000, model -> model.restartNode(1, 20_000)),
                new Fault(320_000, model -> model.restartEngine(2, 20_000))));
        return disturbed.returningPrompts() > 0
                && Math.abs(disturbed.returningPrompts() - undisturbed.returningPrompts()) <= 2;
    }

    private static PolicyMeasurements run(List<Fault> faults) {
        Workload workload = Workload.vacoas();
        // No request arrives in the last minute, so that all are answered before the simulation ends.
        List<Arrival> arrivals = new WorkloadGenerator(workload, 3).generate(0.3, END_MILLIS - 60_000);
        return new Simulation(workload, Policy.SYSTEM, arrivals, 0).run(END_MILLIS, faults);
    }
}
