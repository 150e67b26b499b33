package org.cowslipbank.adapters;

import java.time.Duration;
import java.util.List;

import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.ports.Store;
import org.cowslipbank.ports.StoreStatus;
import reactor.core.publisher.Mono;

/** Client of a store VM over HTTP with JSON bodies. */
final class HttpStore implements Store {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final JsonHttpClient http;

    HttpStore(JsonHttpClient http) {
        this.http = http;
    }

    @Override
    public Mono<List<BlockRef>> find(List<BlockKey> keys) {
        return http.post("/store/find", new StoreWire.FindCall(keys), StoreWire.FindResponse.class, CALL_TIMEOUT)
                .map(StoreWire.FindResponse::blocks);
    }

    @Override
    public Mono<Boolean> free(BlockKey key, long generation) {
        return http.post(
                        "/store/free",
                        new StoreWire.BlockCall(key, generation, null),
                        KeyValueWire.Acknowledgement.class,
                        CALL_TIMEOUT)
                .map(KeyValueWire.Acknowledgement::done);
    }

    @Override
    public Mono<Boolean> move(BlockKey key, long generation, StoreTier tier) {
        return http.post(
                        "/store/move",
                        new StoreWire.BlockCall(key, generation, tier),
                        KeyValueWire.Acknowledgement.class,
                        CALL_TIMEOUT)
                .map(KeyValueWire.Acknowledgement::done);
    }

    @Override
    public Mono<StoreStatus> status() {
        return http.get("/store/status", StoreStatus.class, CALL_TIMEOUT);
    }
}
