package org.cowslipbank.bench.load;

/**
 * A fault that the load tool injects during a run.
 *
 * @param atSeconds time of the fault in seconds after the start of the run, warm-up included
 * @param name description shown in progress messages and reports
 * @param action injects the fault
 */
public record LoadFault(double atSeconds, String name, Runnable action) {}
