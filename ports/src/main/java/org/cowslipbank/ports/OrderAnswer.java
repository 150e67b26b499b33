package org.cowslipbank.ports;

import org.cowslipbank.model.ModelRef;

/**
 * An engine's answer to an order.
 *
 * @param accepted false if the engine refused an old fencing token
 * @param loaded the model, weight version and adapter currently loaded
 * @param role its current role
 */
public record OrderAnswer(boolean accepted, ModelRef loaded, EngineRole role) {}
