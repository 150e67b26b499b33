package org.cowslipbank.decision.trace.invariant;

import java.util.List;
import java.util.function.Function;

/**
 * A rule that the events of a trace must satisfy.
 *
 * @param name name of the rule
 * @param checker returns every breach of the rule
 */
record Invariant(String name, Function<List<TimedEvent>, List<Breach>> checker) {
    List<InvariantViolation> check(List<TimedEvent> events) {
        return checker.apply(events).stream()
                .map(breach -> new InvariantViolation(name, breach.event().sequence(), breach.message()))
                .toList();
    }

    /**
     * A breach of the rule.
     *
     * @param event the event that breaks the rule
     * @param message description of the breach
     */
    record Breach(TimedEvent event, String message) {}
}
