package org.cowslipbank.bench.load;

/**
 * A fault that the load tool causes during a run.
 *
 * @param atSeconds time after the start of the run, warm-up included
 * @param name what is done
 * @param action does it
 */
public record LoadFault(double atSeconds, String name, Runnable action) {}
