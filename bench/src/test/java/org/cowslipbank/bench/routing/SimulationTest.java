package org.cowslipbank.bench.routing;

import java.util.List;

import net.jqwik.api.Example;

final class SimulationTest {
    private static final long END_MILLIS = 20 * 60_000;

    /** Guards against a bench whose figures cannot be repeated. */
    @Example
    boolean equalSeedsGiveEqualFigures() {
        Outcome first = run(List.of());
        Outcome second = run(List.of());
        return first.p95Millis() == second.p95Millis() && first.linkBytes() == second.linkBytes();
    }

    /** Guards against requests that a dead store, engine or node leaves unanswered. */
    @Example
    boolean lossesLeaveNoRequestUnanswered() {
        Outcome undisturbed = run(List.of());
        Outcome disturbed = run(List.of(
                new Fault(300_000, model -> model.killStore(0)),
                new Fault(310_000, model -> model.restartNode(1, 20_000)),
                new Fault(320_000, model -> model.restartEngine(2, 20_000))));
        return disturbed.returning() > 0 && Math.abs(disturbed.returning() - undisturbed.returning()) <= 2;
    }

    private static Outcome run(List<Fault> faults) {
        Workload workload = Workload.vacoas();
        // No request arrives in the last minute, so all are answered when the model stops.
        List<Arrival> arrivals = new WorkloadGenerator(workload, 3).generate(0.3, END_MILLIS - 60_000);
        return new Simulation(workload, Policy.SYSTEM, arrivals, 0).run(END_MILLIS, faults);
    }
}
