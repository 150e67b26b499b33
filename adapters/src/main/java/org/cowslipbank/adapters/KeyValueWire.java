package org.cowslipbank.adapters;

import java.util.List;

/** Messages of the key-value service's JSON interface. Byte arrays travel in base64. */
public final class KeyValueWire {
    private KeyValueWire() {}

    /**
     * Reads a value or waits for a change.
     *
     * @param key the key
     * @param knownVersion the known version, for a watch
     * @param waitMillis longest wait in milliseconds, for a watch
     */
    public record Read(String key, long knownVersion, long waitMillis) {}

    /**
     * A value.
     *
     * @param found false if the key does not exist
     * @param version the version
     * @param value the bytes
     */
    public record Value(boolean found, long version, byte[] value) {}

    /**
     * Writes or deletes a value.
     *
     * @param key the key
     * @param expectedVersion the expected version
     * @param value the bytes, absent for a deletion
     */
    public record Write(String key, long expectedVersion, byte[] value) {}

    /**
     * Lists keys.
     *
     * @param prefix the prefix
     * @param afterKey only greater keys
     * @param limit the most keys
     */
    public record ListKeys(String prefix, String afterKey, int limit) {}

    /**
     * Listed keys.
     *
     * @param keys the keys
     */
    public record Keys(List<String> keys) {}

    /**
     * Acquires, renews or releases a lease.
     *
     * @param name the lease's name
     * @param holder the holder
     * @param ttlMillis duration in milliseconds
     * @param fencingToken the token, for a release
     */
    public record LeaseCall(String name, String holder, long ttlMillis, long fencingToken) {}

    /**
     * Outcome of a deletion or release.
     *
     * @param done true if it took effect
     */
    public record Done(boolean done) {}
}
