package org.cowslipbank.bench.routing;

import java.util.function.Consumer;

/**
 * A fault injected into the simulation.
 *
 * @param atMillis time of the fault in milliseconds of the model's clock
 * @param effect change to the simulation
 */
record Fault(long atMillis, Consumer<Simulation> effect) {}
