package org.cowslipbank.adapters;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.ports.CasResult;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.Lease;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.publisher.Mono;

/** Client of the key-value service over HTTP with JSON bodies. */
final class HttpKeyValueStore implements KeyValueStore {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final JsonHttpClient http;

    HttpKeyValueStore(JsonHttpClient http) {
        this.http = http;
    }

    @Override
    public Mono<Optional<VersionedValue>> get(String key) {
        return http.post("/kv/get", new KeyValueWire.ReadCall(key, 0, 0), KeyValueWire.ReadResponse.class, CALL_TIMEOUT)
                .map(HttpKeyValueStore::toVersionedValue);
    }

    @Override
    public Mono<CasResult> compareAndSwap(String key, long expectedVersion, byte[] value) {
        return http.post(
                "/kv/cas", new KeyValueWire.WriteCall(key, expectedVersion, value), CasResult.class, CALL_TIMEOUT);
    }

    @Override
    public Mono<Boolean> delete(String key, long expectedVersion) {
        return http.post(
                        "/kv/delete",
                        new KeyValueWire.WriteCall(key, expectedVersion, null),
                        KeyValueWire.Acknowledgement.class,
                        CALL_TIMEOUT)
                .map(KeyValueWire.Acknowledgement::done);
    }

    @Override
    public Mono<List<String>> list(String prefix, String afterKey, int limit) {
        return http.post(
                        "/kv/list",
                        new KeyValueWire.ListKeysCall(prefix, afterKey, limit),
                        KeyValueWire.ListKeysResponse.class,
                        CALL_TIMEOUT)
                .map(KeyValueWire.ListKeysResponse::keys);
    }

    @Override
    public Mono<Optional<VersionedValue>> watch(String key, long knownVersion, long waitMillis) {
        return http.post(
                        "/kv/watch",
                        new KeyValueWire.ReadCall(key, knownVersion, waitMillis),
                        KeyValueWire.ReadResponse.class,
                        CALL_TIMEOUT.plusMillis(waitMillis))
                .map(HttpKeyValueStore::toVersionedValue);
    }

    @Override
    public Mono<Lease> acquireLease(String name, String holder, long ttlMillis) {
        return http.post(
                "/kv/lease/acquire", new KeyValueWire.LeaseCall(name, holder, ttlMillis, 0), Lease.class, CALL_TIMEOUT);
    }

    @Override
    public Mono<Void> releaseLease(String name, long fencingToken) {
        return http.post(
                        "/kv/lease/release",
                        new KeyValueWire.LeaseCall(name, "", 0, fencingToken),
                        KeyValueWire.Acknowledgement.class,
                        CALL_TIMEOUT)
                .then();
    }

    private static Optional<VersionedValue> toVersionedValue(KeyValueWire.ReadResponse value) {
        return value.found() ? Optional.of(new VersionedValue(value.version(), value.value())) : Optional.empty();
    }
}
