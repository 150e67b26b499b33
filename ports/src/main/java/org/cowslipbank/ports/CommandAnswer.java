package org.cowslipbank.ports;

import org.cowslipbank.model.ModelRef;

/**
 * An engine's answer to a command.
 *
 * @param accepted false if the engine refused an old fencing token
 * @param loaded the model, weight version and adapter currently loaded
 * @param role its current role
 */
public record CommandAnswer(boolean accepted, ModelRef loaded, EngineRole role) {}
