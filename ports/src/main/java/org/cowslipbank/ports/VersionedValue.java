package org.cowslipbank.ports;

/**
 * A value of the key-value service.
 *
 * @param version the key's version, from one
 * @param value the value's bytes; treated as immutable
 */
public record VersionedValue(long version, byte[] value) {}
