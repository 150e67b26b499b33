package org.cowslipbank.ports;

import org.cowslipbank.model.ModelRef;

/**
 * A command to an engine. Commands are idempotent: they state the target state, so sending one twice changes nothing.
 *
 * @param fencingToken the sender's fencing token; the engine refuses older ones
 * @param target the model, weight version and adapter to load
 * @param role the role to switch to
 */
public record EngineCommand(long fencingToken, ModelRef target, EngineRole role) {}
