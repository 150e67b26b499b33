package org.cowslipbank.adapters;

import java.io.IOException;
import java.time.Duration;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.ports.ServiceAnswer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * JSON requests to one outside system. Connection failures before the request was written are reported as not run, all
 * later failures as unknown.
 */
final class JsonHttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final HttpClient client;
    private final String peer;
    private final Step step;

    JsonHttpClient(ConnectionProvider connections, String address, Step step) {
        this.peer = address;
        this.step = step;
        // Automatic retry would send a request twice after a lost answer.
        this.client = HttpClient.create(connections)
                .baseUrl("http://" + address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .disableRetry(true);
    }

    String peer() {
        return peer;
    }

    <T> Mono<T> post(String path, Object body, Class<T> type, Duration timeout) {
        return client.post()
                .uri(path)
                .send(ByteBufMono.fromString(Mono.fromSupplier(() -> text(body))))
                .responseSingle((response, content) -> decode(response, content, type))
                .timeout(timeout)
                .onErrorMap(error -> toPeerError(error));
    }

    <T> Mono<T> get(String path, Class<T> type, Duration timeout) {
        return client.get()
                .uri(path)
                .responseSingle((response, content) -> decode(response, content, type))
                .timeout(timeout)
                .onErrorMap(error -> toPeerError(error));
    }

    <T> Flux<T> postForLines(String path, Object body, Class<T> type) {
        return postForLines(path, body, line -> WireJson.read(line, type));
    }

    <T> Flux<T> postForLines(String path, Object body, LineReader<T> reader) {
        return client.post()
                .uri(path)
                .send(ByteBufMono.fromString(Mono.fromSupplier(() -> text(body))))
                .response((response, content) -> decodeLines(response, content, reader))
                .onErrorMap(error -> toPeerError(error));
    }

    <T> Flux<T> getLines(String path, Class<T> type) {
        return client.get()
                .uri(path)
                .response((response, content) -> decodeLines(response, content, line -> WireJson.read(line, type)))
                .onErrorMap(error -> toPeerError(error));
    }

    Mono<ServiceAnswer> exchange(String method, String path, String contentType, byte[] body, Duration timeout) {
        return client.headers(headers -> headers.set("content-type", contentType))
                .request(HttpMethod.valueOf(method))
                .uri(path)
                .send(ByteBufFlux.fromInbound(Mono.just(body)))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> new ServiceAnswer(
                                response.status().code(),
                                response.responseHeaders().get("content-type", "application/octet-stream"),
                                bytes)))
                .timeout(timeout)
                .onErrorMap(error -> toPeerError(error));
    }

    private static String text(Object body) {
        return new String(WireJson.write(body), java.nio.charset.StandardCharsets.UTF_8);
    }

    private <T> Mono<T> decode(HttpClientResponse response, ByteBufMono content, Class<T> type) {
        return content.asByteArray().defaultIfEmpty(new byte[0]).flatMap(bytes -> {
            int status = response.status().code();
            if (status != 200) {
                return Mono.error(statusError(status));
            }
            try {
                return Mono.just(WireJson.read(bytes, type));
            } catch (IOException e) {
                return Mono.error(new PeerException(step, peer, RunState.UNKNOWN, "unreadable answer", e));
            }
        });
    }

    private <T> Flux<T> decodeLines(HttpClientResponse response, ByteBufFlux content, LineReader<T> reader) {
        int status = response.status().code();
        if (status != 200) {
            return content.then(Mono.<T>error(statusError(status))).flux();
        }
        return LineSplitter.lines(content.asByteArray()).handle((line, sink) -> {
            try {
                sink.next(reader.read(line));
            } catch (IOException e) {
                sink.error(new PeerException(step, peer, RunState.UNKNOWN, "unreadable line", e));
            }
        });
    }

    // The outside systems answer 409 and 503 only for calls that they did not run.
    private PeerException statusError(int status) {
        RunState runState = status == 409 || status == 503 || status == 404 ? RunState.NOT_RUN : RunState.UNKNOWN;
        return new PeerException(step, peer, runState, "answered with HTTP status " + status);
    }

    private Throwable toPeerError(Throwable error) {
        if (error instanceof CowslipbankException) {
            return error;
        }
        RunState runState =
                error instanceof java.net.ConnectException || error instanceof io.netty.channel.ConnectTimeoutException
                        ? RunState.NOT_RUN
                        : RunState.UNKNOWN;
        return new PeerException(step, peer, runState, error.toString(), error);
    }

    /**
     * Reads the record of a line.
     *
     * @param <T> the record's type
     */
    interface LineReader<T> {
        T read(byte[] line) throws IOException;
    }
}
