package org.cowslipbank.bench;

/** One experiment with bounds. */
public interface Bench {
    /**
     * Returns the name used on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Runs the experiment.
     *
     * @param options seed and size
     * @return the figures with their bounds
     * @throws Exception if the experiment could not be run
     */
    BenchReport run(BenchOptions options) throws Exception;
}
