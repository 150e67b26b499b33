package org.cowslipbank.bench;

import java.util.List;

/**
 * Result of an experiment.
 *
 * @param bench the experiment's name
 * @param seed seed of the run
 * @param figures the figures in order
 */
public record BenchReport(String bench, long seed, List<Figure> figures) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public BenchReport {
        figures = List.copyOf(figures);
    }

    /**
     * Tells whether every figure is within its bound.
     *
     * @return true if no figure misses its bound
     */
    public boolean allBoundsMet() {
        return figures.stream().allMatch(Figure::meetsBound);
    }
}
