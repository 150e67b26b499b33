package org.cowslipbank.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;

/** Compares the routing decision with baselines and an oracle over two workloads. */
public final class RoutingBench implements Bench {
    private static final long WARM_UP_MILLIS = 15 * 60_000;
    private static final long MEASURED_MILLIS_AT_FULL_LOAD = 30 * 60_000;
    private static final double FAULT_LOAD = 0.6;
    private static final double MAX_RATIO_TO_ORACLE = 1.15;
    private static final double MAX_RATIO_TO_AFFINITY = 1.0 / 3;
    private static final double MAX_RATIO_TO_BASELINE = 1.02;

    private static final List<Case> CASES = List.of(
            new Case("load20", 0.20, List.of()),
            new Case("load50", 0.50, List.of()),
            new Case("load80", 0.80, List.of()),
            new Case("load95", 0.95, List.of()),
            new Case("store_dead", FAULT_LOAD, List.of(new Fault(WARM_UP_MILLIS, model -> model.killStore(0)))),
            new Case("link_tenth", FAULT_LOAD, List.of(new Fault(WARM_UP_MILLIS, model -> model.slowLink(0, 0.1)))));

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        List<Figure> figures = new ArrayList<>();
        for (Case each : CASES) {
            Map<Policy, PolicyMeasurements> vacoas = measure(Workload.vacoas(), each, options);
            addVacoasFigures("vacoas." + each.name() + ".", vacoas, figures);
            Map<Policy, PolicyMeasurements> confetes = measure(Workload.confetes(), each, options);
            addConfetesFigures("confetes." + each.name() + ".", confetes, figures);
        }
        return new BenchReport(name(), options.seed(), figures);
    }

    private static Map<Policy, PolicyMeasurements> measure(Workload workload, Case each, BenchOptions options) {
        // Measures a lower load for longer, so that the 95th percentile has as many returning prompts at each load.
        long durationMillis = WARM_UP_MILLIS + (long) (MEASURED_MILLIS_AT_FULL_LOAD / each.load());
        List<Arrival> arrivals = new WorkloadGenerator(workload, options.seed()).generate(each.load(), durationMillis);
        List<Policy> policies = new ArrayList<>(Policy.BASELINES);
        policies.addAll(Policy.ABLATIONS);
        policies.add(Policy.SYSTEM);
        policies.add(Policy.ORACLE);
        Map<Policy, PolicyMeasurements> byPolicy = new LinkedHashMap<>();
        for (Policy policy : policies) {
            Simulation simulation = new Simulation(workload, policy, arrivals, WARM_UP_MILLIS);
            PolicyMeasurements measurements = simulation.run(durationMillis, each.faults());
            byPolicy.put(policy, measurements);
            options.progress().accept(progressLine(workload, each, policy, measurements));
        }
        return byPolicy;
    }

    private static String progressLine(Workload workload, Case each, Policy policy, PolicyMeasurements measurements) {
        return String.format(
                Locale.ROOT,
                "%s %s %s: returning %d, first token p50 %.0f ms, p95 %.0f ms, recomputed share %.4f, link %.0f GB",
                workload.name(),
                each.name(),
                policy.name(),
                measurements.returningPrompts(),
                measurements.firstTokenMillis(0.5),
                measurements.p95Millis(),
                measurements.recomputedShare(),
                measurements.linkBytes() / 1e9);
    }

    private static void addVacoasFigures(
            String prefix, Map<Policy, PolicyMeasurements> byPolicy, List<Figure> figures) {
        double system = byPolicy.get(Policy.SYSTEM).p95Millis();
        double oracle = byPolicy.get(Policy.ORACLE).p95Millis();
        double affinity = byPolicy.get(Policy.AFFINITY).p95Millis();
        Policy best = bestBaseline(byPolicy, PolicyMeasurements::p95Millis);
        figures.add(Figure.unbounded(prefix + "p95_millis", system));
        figures.add(Figure.atMost(prefix + "p95_over_oracle", system / oracle, MAX_RATIO_TO_ORACLE));
        figures.add(Figure.atMost(prefix + "p95_over_affinity", system / affinity, MAX_RATIO_TO_AFFINITY));
        figures.add(Figure.atMost(
                prefix + "p95_over_best_baseline_" + best.name(),
                system / byPolicy.get(best).p95Millis(),
                MAX_RATIO_TO_BASELINE));
    }

    // The recomputed share has a bound; the link bytes have one only against a baseline that recomputes as little.
    private static void addConfetesFigures(
            String prefix, Map<Policy, PolicyMeasurements> byPolicy, List<Figure> figures) {
        PolicyMeasurements system = byPolicy.get(Policy.SYSTEM);
        PolicyMeasurements oracle = byPolicy.get(Policy.ORACLE);
        Policy best = bestBaseline(byPolicy, PolicyMeasurements::recomputedShare);
        PolicyMeasurements baseline = byPolicy.get(best);
        double shareOverBaseline = system.recomputedShare() / baseline.recomputedShare();
        double bytesOverBaseline = system.linkBytes() / (double) baseline.linkBytes();
        figures.add(Figure.unbounded(prefix + "recomputed_share", system.recomputedShare()));
        figures.add(Figure.unbounded(prefix + "p95_millis", system.p95Millis()));
        figures.add(Figure.unbounded(prefix + "p95_over_" + best.name(), system.p95Millis() / baseline.p95Millis()));
        figures.add(Figure.atMost(
                prefix + "recomputed_share_over_oracle",
                system.recomputedShare() / oracle.recomputedShare(),
                MAX_RATIO_TO_ORACLE));
        figures.add(Figure.atMost(
                prefix + "link_bytes_over_oracle",
                system.linkBytes() / (double) oracle.linkBytes(),
                MAX_RATIO_TO_ORACLE));
        figures.add(Figure.atMost(
                prefix + "recomputed_share_over_best_baseline_" + best.name(),
                shareOverBaseline,
                MAX_RATIO_TO_BASELINE));
        boolean recomputesAsLittle = shareOverBaseline >= 1 / MAX_RATIO_TO_BASELINE;
        String bytesName = prefix + "link_bytes_over_best_baseline_" + best.name();
        figures.add(
                recomputesAsLittle
                        ? Figure.atMost(bytesName, bytesOverBaseline, MAX_RATIO_TO_BASELINE)
                        : Figure.unbounded(bytesName, bytesOverBaseline));
    }

    private static Policy bestBaseline(
            Map<Policy, PolicyMeasurements> byPolicy, ToDoubleFunction<PolicyMeasurements> measure) {
        return Policy.BASELINES.stream()
                .min(Comparator.comparingDouble(policy -> measure.applyAsDouble(byPolicy.get(policy))))
                .orElseThrow();
    }

    private record Case(String name, double load, List<Fault> faults) {}
}
