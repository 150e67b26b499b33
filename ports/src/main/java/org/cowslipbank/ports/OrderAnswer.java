package org.cowslipbank.ports;

import org.cowslipbank.model.ModelRef;

/**
 * An engine's answer to an order.
 *
 * @param accepted false if the engine refused an old fencing token
 * @param loaded what the engine has loaded now
 * @param role its role now
 */
public record OrderAnswer(boolean accepted, ModelRef loaded, EngineRole role) {}
