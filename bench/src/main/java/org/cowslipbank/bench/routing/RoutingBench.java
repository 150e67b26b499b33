package org.cowslipbank.bench.routing;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;

/** Compares the routing decision with baselines and an oracle over two workloads. */
public final class RoutingBench implements Bench {
    private static final long WARM_UP_MILLIS = 15 * 60_000;
    private static final long MEASURED_MILLIS_AT_FULL_LOAD = 30 * 60_000;

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        List<Figure> figures = new ArrayList<>();
        for (Workload workload : List.of(Workload.vacoas(), Workload.confetes())) {
            for (double load : new double[] {0.2, 0.5, 0.8, 0.95}) {
                // A lower load is measured for longer, so that the 95th percentile rests on as many returns.
                long durationMillis = WARM_UP_MILLIS + (long) (MEASURED_MILLIS_AT_FULL_LOAD / load);
                List<Arrival> arrivals = new WorkloadGenerator(workload, options.seed()).generate(load, durationMillis);
                List<Policy> policies = new ArrayList<>(Policy.BASELINES);
                policies.addAll(List.of(
                        Policy.SYSTEM, Policy.TWO_CHOICES, Policy.NO_PREFETCH, Policy.NO_OVERTAKE, Policy.ORACLE));
                for (Policy policy : policies) {
                    Outcome o =
                            new Simulation(workload, policy, arrivals, WARM_UP_MILLIS).run(durationMillis, List.of());
                    options.progress()
                            .accept(String.format(
                                    "%s %.2f %-17s n=%d p50=%.0f p95=%.0f share=%.4f known=%.3f linkGB=%.0f",
                                    workload.name(),
                                    load,
                                    policy.name(),
                                    o.returning(),
                                    o.firstTokenMillis(0.5),
                                    o.p95Millis(),
                                    o.recomputedShare(),
                                    o.knownShare(),
                                    o.linkBytes() / 1e9));
                }
            }
        }
        return new BenchReport(name(), options.seed(), figures);
    }
}
