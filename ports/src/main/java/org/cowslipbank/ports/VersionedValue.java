package org.cowslipbank.ports;

/**
 * A value of the key-value service with its version.
 *
 * @param version the key's version, from one
 * @param value the value's bytes; treated as immutable
 */
public record VersionedValue(long version, byte[] value) {}
