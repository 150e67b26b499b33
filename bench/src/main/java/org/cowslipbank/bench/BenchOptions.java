package org.cowslipbank.bench;

/**
 * Options of an experiment.
 *
 * @param seed seed of every random source
 * @param progress takes one line of progress at a time
 */
public record BenchOptions(long seed, java.util.function.Consumer<String> progress) {}
