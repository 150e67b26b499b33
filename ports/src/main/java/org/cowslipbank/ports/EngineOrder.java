package org.cowslipbank.ports;

import org.cowslipbank.model.ModelRef;

/**
 * An order to an engine. Orders are absolute: they name the target state, so giving one twice changes nothing.
 *
 * @param fencingToken the order-giver's fencing token
 * @param target the model, weight version and adapter to have loaded
 * @param role the role to take
 */
public record EngineOrder(long fencingToken, ModelRef target, EngineRole role) {}
