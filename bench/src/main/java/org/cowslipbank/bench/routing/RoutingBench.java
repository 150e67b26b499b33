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
    private static final double MAX_OVER_ORACLE = 1.15;
    private static final double MAX_OVER_AFFINITY = 1.0 / 3;
    private static final double MAX_OVER_BASELINE = 1.02;

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
            Map<Policy, Outcome> vacoas = measure(Workload.vacoas(), each, options);
            judgeVacoas("vacoas." + each.name() + ".", vacoas, figures);
            Map<Policy, Outcome> confetes = measure(Workload.confetes(), each, options);
            judgeConfetes("confetes." + each.name() + ".", confetes, figures);
        }
        return new BenchReport(name(), options.seed(), figures);
    }

    private static Map<Policy, Outcome> measure(Workload workload, Case each, BenchOptions options) {
        // A lower load is measured for longer, so that the 95th percentile rests on as many returns.
        long durationMillis = WARM_UP_MILLIS + (long) (MEASURED_MILLIS_AT_FULL_LOAD / each.load());
        List<Arrival> arrivals = new WorkloadGenerator(workload, options.seed()).generate(each.load(), durationMillis);
        List<Policy> policies = new ArrayList<>(Policy.BASELINES);
        policies.addAll(Policy.VARIANTS);
        policies.add(Policy.SYSTEM);
        policies.add(Policy.ORACLE);
        Map<Policy, Outcome> outcomes = new LinkedHashMap<>();
        for (Policy policy : policies) {
            Simulation simulation = new Simulation(workload, policy, arrivals, WARM_UP_MILLIS);
            Outcome outcome = simulation.run(durationMillis, each.faults());
            outcomes.put(policy, outcome);
            options.progress().accept(line(workload, each, policy, outcome));
        }
        return outcomes;
    }

    private static String line(Workload workload, Case each, Policy policy, Outcome outcome) {
        return String.format(
                Locale.ROOT,
                "%s %s %s: returns %d, first token p50 %.0f ms, p95 %.0f ms, recomputed share %.4f, link %.0f GB",
                workload.name(),
                each.name(),
                policy.name(),
                outcome.returning(),
                outcome.firstTokenMillis(0.5),
                outcome.p95Millis(),
                outcome.recomputedShare(),
                outcome.linkBytes() / 1e9);
    }

    private static void judgeVacoas(String prefix, Map<Policy, Outcome> outcomes, List<Figure> figures) {
        double system = outcomes.get(Policy.SYSTEM).p95Millis();
        double oracle = outcomes.get(Policy.ORACLE).p95Millis();
        double affinity = outcomes.get(Policy.AFFINITY).p95Millis();
        Policy best = best(outcomes, Outcome::p95Millis);
        figures.add(Figure.info(prefix + "p95_millis", system));
        figures.add(Figure.atMost(prefix + "p95_over_oracle", system / oracle, MAX_OVER_ORACLE));
        figures.add(Figure.atMost(prefix + "p95_over_affinity", system / affinity, MAX_OVER_AFFINITY));
        figures.add(Figure.atMost(
                prefix + "p95_over_best_baseline_" + best.name(),
                system / outcomes.get(best).p95Millis(),
                MAX_OVER_BASELINE));
    }

    // Recomputed share decides; link bytes decide only against a baseline that recomputes as little.
    private static void judgeConfetes(String prefix, Map<Policy, Outcome> outcomes, List<Figure> figures) {
        Outcome system = outcomes.get(Policy.SYSTEM);
        Outcome oracle = outcomes.get(Policy.ORACLE);
        Policy best = best(outcomes, Outcome::recomputedShare);
        Outcome baseline = outcomes.get(best);
        double shareOverBaseline = system.recomputedShare() / baseline.recomputedShare();
        double bytesOverBaseline = system.linkBytes() / (double) baseline.linkBytes();
        figures.add(Figure.info(prefix + "recomputed_share", system.recomputedShare()));
        figures.add(Figure.info(prefix + "p95_millis", system.p95Millis()));
        figures.add(Figure.info(prefix + "p95_over_" + best.name(), system.p95Millis() / baseline.p95Millis()));
        figures.add(Figure.atMost(
                prefix + "recomputed_share_over_oracle",
                system.recomputedShare() / oracle.recomputedShare(),
                MAX_OVER_ORACLE));
        figures.add(Figure.atMost(
                prefix + "link_bytes_over_oracle", system.linkBytes() / (double) oracle.linkBytes(), MAX_OVER_ORACLE));
        figures.add(Figure.atMost(
                prefix + "recomputed_share_over_best_baseline_" + best.name(), shareOverBaseline, MAX_OVER_BASELINE));
        boolean equalShare = shareOverBaseline >= 1 / MAX_OVER_BASELINE;
        String bytesName = prefix + "link_bytes_over_best_baseline_" + best.name();
        figures.add(
                equalShare
                        ? Figure.atMost(bytesName, bytesOverBaseline, MAX_OVER_BASELINE)
                        : Figure.info(bytesName, bytesOverBaseline));
    }

    private static Policy best(Map<Policy, Outcome> outcomes, ToDoubleFunction<Outcome> measure) {
        return Policy.BASELINES.stream()
                .min(Comparator.comparingDouble(policy -> measure.applyAsDouble(outcomes.get(policy))))
                .orElseThrow();
    }

    private record Case(String name, double load, List<Fault> faults) {}
}
