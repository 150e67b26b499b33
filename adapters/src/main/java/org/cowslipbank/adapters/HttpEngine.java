package org.cowslipbank.adapters;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.ports.BlockReceipt;
import org.cowslipbank.ports.CacheEvent;
import org.cowslipbank.ports.CommandAnswer;
import org.cowslipbank.ports.Engine;
import org.cowslipbank.ports.EngineCommand;
import org.cowslipbank.ports.EngineEvent;
import org.cowslipbank.ports.EngineLoad;
import org.cowslipbank.ports.GenerateCall;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Client of an engine over HTTP with JSON bodies; streams are newline-delimited JSON. */
final class HttpEngine implements Engine {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final JsonHttpClient http;
    private final Function<StoreId, String> storeAddresses;

    HttpEngine(JsonHttpClient http, Function<StoreId, String> storeAddresses) {
        this.http = http;
        this.storeAddresses = storeAddresses;
    }

    @Override
    public Flux<EngineEvent> generate(GenerateCall call) {
        return http.postForLines("/engine/generate", call, line -> TokenLineCodec.read(line, call.attempt()));
    }

    @Override
    public Flux<EngineEvent> resume(AttemptId attempt, int fromToken) {
        return http.postForLines(
                "/engine/resume",
                new EngineWire.AttemptCall(attempt, fromToken),
                line -> TokenLineCodec.read(line, attempt));
    }

    @Override
    public Mono<Void> cancel(AttemptId attempt) {
        return http.post(
                        "/engine/cancel",
                        new EngineWire.AttemptCall(attempt, 0),
                        KeyValueWire.Acknowledgement.class,
                        CALL_TIMEOUT)
                .then();
    }

    @Override
    public Flux<BlockReceipt> importBlocks(List<BlockRef> blocks) {
        List<String> addresses = blocks.stream()
                .map(block -> storeAddresses.apply(block.store()))
                .toList();
        return http.postForLines("/engine/import", new EngineWire.ImportCall(blocks, addresses), BlockReceipt.class);
    }

    @Override
    public Flux<BlockRef> exportBlocks(
            AttemptId attempt, List<BlockIdentity> blocks, StoreId store, String storeAddress) {
        return http.postForLines(
                "/engine/export", new EngineWire.ExportCall(attempt, blocks, store, storeAddress), BlockRef.class);
    }

    @Override
    public Mono<EngineLoad> load() {
        return http.get("/engine/load", EngineLoad.class, CALL_TIMEOUT);
    }

    @Override
    public Flux<CacheEvent> cacheEvents() {
        return http.getLines("/engine/cache-events", CacheEvent.class);
    }

    @Override
    public Mono<CommandAnswer> sendCommand(EngineCommand command) {
        return http.post("/engine/order", command, CommandAnswer.class, CALL_TIMEOUT);
    }
}
