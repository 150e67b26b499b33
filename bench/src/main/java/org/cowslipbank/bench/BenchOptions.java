package org.cowslipbank.bench;

/**
 * Options for running an experiment.
 *
 * @param seed seed of every random source
 * @param progress receives progress messages, one line each
 */
public record BenchOptions(long seed, java.util.function.Consumer<String> progress) {}
