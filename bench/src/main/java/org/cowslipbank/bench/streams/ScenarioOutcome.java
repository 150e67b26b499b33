package org.cowslipbank.bench.streams;

import java.util.List;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.AnswerAudit;

/**
 * Result of a scenario.
 *
 * @param name the scenario's name
 * @param audit counts of complete, lost, duplicate and wrong answers
 * @param figures further figures of the scenario
 */
record ScenarioOutcome(String name, AnswerAudit audit, List<Figure> figures) {
    ScenarioOutcome {
        figures = List.copyOf(figures);
    }

    /** Returns the share of requests with exactly one complete answer, bounded to be 1. */
    Figure boundedWholeShare() {
        return Figure.atLeast(name + "_whole_share", computeWholeShare(), 1);
    }

    /** Returns the same share without a bound. */
    Figure unboundedWholeShare() {
        return Figure.unbounded(name + "_whole_share", computeWholeShare());
    }

    private double computeWholeShare() {
        return (double) audit.complete() / audit.requests();
    }
}
