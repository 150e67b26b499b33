package org.cowslipbank.decision.trace.invariant;

import java.util.List;
import java.util.function.Function;

/**
 * A rule over the facts of a trace.
 *
 * @param name name of the rule
 * @param checker returns every breach of the rule
 */
record Invariant(String name, Function<List<TimedFact>, List<Breach>> checker) {
    List<Violation> check(List<TimedFact> facts) {
        return checker.apply(facts).stream()
                .map(breach -> new Violation(name, breach.fact().sequence(), breach.message()))
                .toList();
    }

    record Breach(TimedFact fact, String message) {}
}
