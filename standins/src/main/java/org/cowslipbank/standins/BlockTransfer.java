package org.cowslipbank.standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;

import org.cowslipbank.adapters.StoreWire;
import org.cowslipbank.adapters.WireJson;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.ports.BlockReceipt;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Transfers blocks between an engine stand-in and store stand-ins. */
final class BlockTransfer {
    private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(30);

    private final ConnectionProvider connections = ConnectionProvider.create("transfer", 64);
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);

    Mono<Received> read(BlockRef block, String storeAddress) {
        String path = "/store/blocks/" + block.identity().key() + "/" + block.generation();
        return client.get()
                .uri("http://" + storeAddress + path)
                .responseSingle((response, content) -> response.status().code() == 200
                        ? content.asByteArray().flatMap(data -> toReceived(response, data))
                        : Mono.<Received>empty())
                .timeout(TRANSFER_TIMEOUT)
                .onErrorMap(error -> new StatusException(503));
    }

    Mono<BlockRef> write(BlockIdentity identity, byte[] data, String storeAddress) {
        String header = Base64.getEncoder().encodeToString(WireJson.write(identity));
        return client.headers(headers -> headers.set(StoreWire.IDENTITY_HEADER, header))
                .post()
                .uri("http://" + storeAddress + "/store/blocks")
                .send(ByteBufFlux.fromInbound(Mono.just(data)))
                .responseSingle((response, content) -> content.asByteArray())
                .flatMap(answer -> commitWrite(answer, data, storeAddress))
                .timeout(TRANSFER_TIMEOUT)
                .onErrorResume(error -> Mono.empty());
    }

    void close() {
        connections.dispose();
    }

    private Mono<BlockRef> commitWrite(byte[] beginAnswer, byte[] data, String storeAddress) {
        return parseJson(beginAnswer, StoreWire.BeginWriteResponse.class).flatMap(write -> {
            StoreWire.CommitCall call = new StoreWire.CommitCall(write.writeId(), data.length, Checksums.crc32c(data));
            String body = new String(WireJson.write(call), StandardCharsets.UTF_8);
            return client.post()
                    .uri("http://" + storeAddress + "/store/commit")
                    .send(ByteBufFlux.fromString(Mono.just(body)))
                    .responseSingle((response, content) -> response.status().code() == 200
                            ? content.asByteArray().flatMap(answer -> parseJson(answer, BlockRef.class))
                            : Mono.<BlockRef>empty());
        });
    }

    private static Mono<Received> toReceived(HttpClientResponse response, byte[] data) {
        String identity = response.responseHeaders().get(StoreWire.IDENTITY_HEADER);
        long generation = Long.parseLong(response.responseHeaders().get(StoreWire.GENERATION_HEADER));
        return parseJson(Base64.getDecoder().decode(identity), BlockIdentity.class)
                .map(parsed ->
                        new Received(new BlockReceipt(parsed, generation, data.length, Checksums.crc32c(data)), data));
    }

    private static <T> Mono<T> parseJson(byte[] json, Class<T> type) {
        try {
            return Mono.just(WireJson.read(json, type));
        } catch (IOException e) {
            return Mono.error(e);
        }
    }

    /**
     * A block received from a store.
     *
     * @param receipt identity and generation that the store sent, and length and checksum of the received bytes
     * @param data the received bytes
     */
    record Received(BlockReceipt receipt, byte[] data) {}
}
