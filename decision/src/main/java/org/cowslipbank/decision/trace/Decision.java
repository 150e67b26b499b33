package org.cowslipbank.decision.trace;

import java.util.function.Function;

/**
 * Decision function that can be recorded in a trace and replayed.
 *
 * @param <I> the input, a record that serializes to JSON
 * @param <O> the outcome, a record that serializes to JSON
 * @param kind name of the decision in a trace, such as {@code route}
 * @param inputType class of the input
 * @param outcomeType class of the outcome
 * @param function the pure function from input to outcome
 */
public record Decision<I, O>(String kind, Class<I> inputType, Class<O> outcomeType, Function<I, O> function) {}
