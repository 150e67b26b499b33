package org.cowslipbank.bench;

/** An experiment whose figures have bounds. */
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
     * @param options seed and receiver of progress messages
     * @return the figures and their bounds
     * @throws Exception if the experiment cannot run to its end
     */
    BenchReport run(BenchOptions options) throws Exception;
}
