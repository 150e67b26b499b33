package org.cowslipbank.adapters;

import java.util.List;

/** Request and response bodies of the key-value service's JSON interface. Byte arrays are encoded in base64. */
public final class KeyValueWire {
    private KeyValueWire() {}

    /**
     * Request to read a value or to watch it for a change.
     *
     * @param key the key
     * @param knownVersion the last version seen, for a watch; zero for a read
     * @param waitMillis maximum wait in milliseconds, for a watch; zero for a read
     */
    public record ReadCall(String key, long knownVersion, long waitMillis) {}

    /**
     * Response to a read or watch.
     *
     * @param found false if the key does not exist
     * @param version the value's version
     * @param value the value's bytes
     */
    public record ReadResponse(boolean found, long version, byte[] value) {}

    /**
     * Request to write or delete a value if its version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the version that the value must have
     * @param value the new bytes, null for a deletion
     */
    public record WriteCall(String key, long expectedVersion, byte[] value) {}

    /**
     * Request to list one page of keys.
     *
     * @param prefix the prefix of the keys
     * @param afterKey exclusive lower bound: the last key of the previous page
     * @param limit maximum number of keys to return
     */
    public record ListKeysCall(String prefix, String afterKey, int limit) {}

    /**
     * Response to a request to list keys.
     *
     * @param keys the keys
     */
    public record ListKeysResponse(List<String> keys) {}

    /**
     * Request to acquire, renew or release a lease.
     *
     * @param name the lease's name
     * @param holder the holder; empty for a release
     * @param ttlMillis time to live in milliseconds; zero for a release
     * @param fencingToken the lease's fencing token, for a release; zero otherwise
     */
    public record LeaseCall(String name, String holder, long ttlMillis, long fencingToken) {}

    /**
     * Response to a request without a result of its own, such as a deletion or the release of a lease.
     *
     * @param done true if the request took effect
     */
    public record Acknowledgement(boolean done) {}
}
