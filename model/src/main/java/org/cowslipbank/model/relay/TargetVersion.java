package org.cowslipbank.model.relay;

/**
 * A model's target weight version, as set by the operators.
 *
 * @param model the model's name
 * @param version the version, from one
 * @param revision revision of the metadata store at which it was set
 */
public record TargetVersion(String model, long version, long revision) {}
