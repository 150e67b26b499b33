package org.cowslipbank.bench.membership;

import java.util.List;
import java.util.function.Predicate;

import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.Figure;

/** Runs the membership experiment. Arguments: seed, labels of fleets (default: all). */
final class MembershipBenchRunner {
    private MembershipBenchRunner() {}

    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        Predicate<String> labelFilter = args.length > 1 ? label -> List.of(args).indexOf(label) > 0 : label -> true;
        long startNanos = System.nanoTime();
        BenchOptions options = new BenchOptions(
                seed, line -> System.err.println((System.nanoTime() - startNanos) / 1_000_000_000 + " s: " + line));
        for (Figure figure : new MembershipBench(labelFilter).run(options).figures()) {
            String bound = figure.relation() == Figure.Relation.NONE ? "" : " bound " + figure.bound();
            System.out.println((figure.meetsBound() ? "" : "MISSED ") + figure.name() + " " + figure.value() + bound);
        }
        System.err.println((System.nanoTime() - startNanos) / 1_000_000_000 + " s: done");
    }
}
