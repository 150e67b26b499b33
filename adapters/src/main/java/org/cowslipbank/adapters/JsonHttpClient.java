package org.cowslipbank.adapters;

import java.io.IOException;
import java.time.Duration;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.BoundedBytes;
import org.cowslipbank.ports.ServiceAnswer;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * HTTP client for JSON requests to one external system. A failure to connect is reported with run state "not run", every
 * later failure without a response with "unknown".
 */
final class JsonHttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Longest answer body that is read; values of the key-value service have up to 1 MB, and answers several. */
    static final int MAX_ANSWER_BYTES = 8 << 20;

    private final HttpClient client;
    private final String address;
    private final ProcessingStep step;

    JsonHttpClient(ConnectionProvider connections, String address, ProcessingStep step) {
        this.address = address;
        this.step = step;
        // An automatic retry could run a request twice when only its response was lost.
        this.client = HttpClient.create(connections)
                .baseUrl("http://" + address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .disableRetry(true);
    }

    String address() {
        return address;
    }

    <T> Mono<T> post(String path, Object body, Class<T> type, Duration timeout) {
        return client.post()
                .uri(path)
                .send(ByteBufMono.fromString(Mono.fromSupplier(() -> toJson(body))))
                .response((response, content) -> decode(response, content, type))
                .single()
                .timeout(timeout)
                .onErrorMap(error -> toPeerError(error));
    }

    <T> Mono<T> get(String path, Class<T> type, Duration timeout) {
        return client.get()
                .uri(path)
                .response((response, content) -> decode(response, content, type))
                .single()
                .timeout(timeout)
                .onErrorMap(error -> toPeerError(error));
    }

    <T> Flux<T> postForLines(String path, Object body, Class<T> type) {
        return postForLines(path, body, line -> WireJson.read(line, type));
    }

    <T> Flux<T> postForLines(String path, Object body, LineReader<T> reader) {
        return client.post()
                .uri(path)
                .send(ByteBufMono.fromString(Mono.fromSupplier(() -> toJson(body))))
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
                .response((response, content) -> BoundedBytes.collect(content.asByteArray(), MAX_ANSWER_BYTES)
                        .map(bytes -> new ServiceAnswer(
                                response.status().code(),
                                response.responseHeaders().get("content-type", "application/octet-stream"),
                                bytes)))
                .single()
                .timeout(timeout)
                .onErrorMap(error -> toPeerError(error));
    }

    private static String toJson(Object body) {
        return new String(WireJson.write(body), java.nio.charset.StandardCharsets.UTF_8);
    }

    private <T> Mono<T> decode(HttpClientResponse response, ByteBufFlux content, Class<T> type) {
        return BoundedBytes.collect(content.asByteArray(), MAX_ANSWER_BYTES).flatMap(bytes -> {
            int status = response.status().code();
            if (status != 200) {
                return Mono.error(statusError(status));
            }
            try {
                return Mono.just(WireJson.read(bytes, type));
            } catch (IOException e) {
                return Mono.error(new PeerException(
                        step,
                        address,
                        RunState.UNKNOWN,
                        "cannot decode HTTP response body as " + type.getSimpleName(),
                        e));
            }
        });
    }

    private <T> Flux<T> decodeLines(HttpClientResponse response, ByteBufFlux content, LineReader<T> reader) {
        int status = response.status().code();
        if (status != 200) {
            return content.then(Mono.<T>error(statusError(status))).flux();
        }
        return LineSplitter.splitLines(content.asByteArray()).handle((line, sink) -> {
            try {
                sink.next(reader.read(line));
            } catch (IOException e) {
                sink.error(new PeerException(
                        step, address, RunState.UNKNOWN, "cannot decode line of HTTP response stream", e));
            }
        });
    }

    // The external systems send 404, 409 and 503 only for requests that they did not run.
    private PeerException statusError(int status) {
        RunState runState = status == 409 || status == 503 || status == 404 ? RunState.NOT_RUN : RunState.UNKNOWN;
        return new PeerException(step, address, runState, "unexpected HTTP status " + status);
    }

    private Throwable toPeerError(Throwable error) {
        if (error instanceof CowslipbankException) {
            return error;
        }
        RunState runState =
                error instanceof java.net.ConnectException || error instanceof io.netty.channel.ConnectTimeoutException
                        ? RunState.NOT_RUN
                        : RunState.UNKNOWN;
        return new PeerException(step, address, runState, error.toString(), error);
    }

    /**
     * Decodes one line of a response stream.
     *
     * @param <T> the record's type
     */
    interface LineReader<T> {
        T read(byte[] line) throws IOException;
    }
}
