package org.cowslipbank.bench.routing;

import java.util.function.Consumer;

/**
 * Something that happens to the model.
 *
 * @param atMillis when it happens
 * @param effect what it does
 */
record Fault(long atMillis, Consumer<Simulation> effect) {}
