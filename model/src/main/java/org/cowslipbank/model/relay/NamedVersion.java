package org.cowslipbank.model.relay;

/**
 * A weight version that operators named for a model.
 *
 * @param model the model's name
 * @param version the version, from one
 * @param revision revision of the metadata store at which it was named
 */
public record NamedVersion(String model, long version, long revision) {}
