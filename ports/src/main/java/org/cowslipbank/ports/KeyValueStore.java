package org.cowslipbank.ports;

import java.util.List;
import java.util.Optional;

import reactor.core.publisher.Mono;

/**
 * Client of the platform's key-value service. Every call, a pending watch included, counts against the service's rate
 * limit.
 */
public interface KeyValueStore {
    /** Largest size of a value, in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /** Expected version of a key that must not exist yet. */
    long ABSENT = 0;

    /**
     * Reads a value.
     *
     * @param key the key
     * @return the value with its version, or empty if the key does not exist
     */
    Mono<Optional<VersionedValue>> get(String key);

    /**
     * Writes a value if the key's version is the expected one. If the answer is lost, the error's run state is
     * unknown and the caller must read the key before it continues.
     *
     * @param key the key
     * @param expectedVersion the expected version, {@link #ABSENT} to create the key
     * @param value the new value, at most {@link #MAX_VALUE_BYTES}
     * @return whether the write took effect, and the key's current version
     */
    Mono<CasResult> compareAndSwap(String key, long expectedVersion, byte[] value);

    /**
     * Deletes a key if its version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the expected version
     * @return true if the key was deleted
     */
    Mono<Boolean> delete(String key, long expectedVersion);

    /**
     * Lists the keys with a prefix in ascending order.
     *
     * @param prefix the prefix
     * @param afterKey only keys greater than this one, empty for all
     * @param limit largest number of keys returned
     * @return the keys
     */
    Mono<List<String>> list(String prefix, String afterKey, int limit);

    /**
     * Waits until a key's version differs from a known one, or until the wait time has passed.
     *
     * @param key the key
     * @param knownVersion the known version
     * @param waitMillis the longest wait in milliseconds
     * @return the value with its version, or empty if the key does not exist
     */
    Mono<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis);

    /**
     * Acquires a lease that is free or expired, or renews it if the holder still holds it.
     *
     * @param name the lease's name
     * @param holder the holder's name
     * @param ttlMillis how long the lease lasts, in milliseconds
     * @return the current lease; its holder is another one if the lease is taken
     */
    Mono<Lease> acquireLease(String name, String holder, long ttlMillis);

    /**
     * Releases a lease.
     *
     * @param name the lease's name
     * @param fencingToken the token under which it was acquired; the call has no effect with an older token
     * @return completes when the service has answered
     */
    Mono<Void> releaseLease(String name, long fencingToken);
}
