package org.cowslipbank.bench.streams;

import java.util.List;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.Audit;

/**
 * Outcome of a scenario.
 *
 * @param name the scenario's name
 * @param audit counts of wrong answers
 * @param figures further figures
 */
record Outcome(String name, Audit audit, List<Figure> figures) {
    Outcome {
        figures = List.copyOf(figures);
    }

    /** Returns the share of the requests with one whole answer, which must be all of them. */
    Figure wholeShare() {
        return Figure.atLeast(name + "_whole_share", share(), 1);
    }

    Figure wholeShareForInformation() {
        return Figure.info(name + "_whole_share", share());
    }

    private double share() {
        return (double) audit.whole() / audit.requests();
    }
}
