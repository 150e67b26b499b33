package org.cowslipbank.bench.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.IntFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import org.cowslipbank.adapters.LineSplitter;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * A caller as the system asks callers to be: it looks up addresses, keeps the answer for its validity, and on a failed
 * connection looks up again and sends again.
 */
public final class CallerClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SILENCE = Duration.ofSeconds(8);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(150);
    private static final int MAX_TRIES = 60;

    private final ConnectionProvider connections = ConnectionProvider.builder("callers")
            .maxConnections(2_000)
            .pendingAcquireMaxCount(-1)
            .build();
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);
    private final List<String> seedAddresses;

    /**
     * Creates a caller.
     *
     * @param seedAddresses addresses at which to ask first, as {@code IP:port}
     */
    public CallerClient(List<String> seedAddresses) {
        this.seedAddresses = List.copyOf(seedAddresses);
    }

    /**
     * Sends a prompt until it is answered.
     *
     * @param prompt the prompt
     * @return the answer; an error if it was not answered within the tries
     */
    public Mono<Answer> complete(Prompt prompt) {
        long startNanos = System.nanoTime();
        return withRetries(attempt -> entry(prompt.key(), prompt.session(), attempt)
                .flatMap(entry -> stream(entry.address(), prompt, startNanos)));
    }

    /**
     * Sends an order until its outcome is known.
     *
     * @param key the team's bearer key
     * @param ownKeyPart the caller's own part of the idempotency key
     * @param order the order's text
     * @param onNotRun called whenever a refusal says that the order did not run
     * @return the answer's text; an error if the outcome stayed unknown
     */
    public Mono<String> order(String key, String ownKeyPart, String order, Runnable onNotRun) {
        return entry(key, ownKeyPart, 0).retry(MAX_TRIES).flatMap(first -> {
            String idempotencyKey = first.window() + "." + ownKeyPart;
            return withRetries(attempt -> entry(key, ownKeyPart, attempt)
                    .flatMap(entry -> sendOrder(entry.address(), key, idempotencyKey, order))
                    .doOnError(error -> tellNotRun(error, onNotRun)));
        });
    }

    @Override
    public void close() {
        connections.dispose();
    }

    private <T> Mono<T> withRetries(IntFunction<Mono<T>> attempt) {
        return tryOnce(attempt, 0);
    }

    private <T> Mono<T> tryOnce(IntFunction<Mono<T>> attempt, int number) {
        return Mono.defer(() -> attempt.apply(number))
                .onErrorResume(error -> number + 1 < MAX_TRIES && isWorthRetrying(error)
                        ? Mono.delay(RETRY_PAUSE).then(tryOnce(attempt, number + 1))
                        : Mono.error(error));
    }

    private static void tellNotRun(Throwable error, Runnable onNotRun) {
        if (error instanceof PeerException peer && peer.runState() == RunState.NOT_RUN) {
            onNotRun.run();
        }
    }

    private static boolean isWorthRetrying(Throwable error) {
        return !(error instanceof FinalFailure);
    }

    private Mono<Entry> entry(String key, String session, int attempt) {
        int first = Math.floorMod(session.hashCode() + attempt, seedAddresses.size());
        String uri = "http://" + seedAddresses.get(first) + "/v1/entries?key=" + session;
        return client.headers(headers -> headers.set("authorization", "Bearer " + key))
                .get()
                .uri(uri)
                .responseSingle((response, content) -> content.asByteArray())
                .timeout(LOOKUP_TIMEOUT)
                .map(bytes -> choose(bytes, attempt));
    }

    private static Entry choose(byte[] bytes, int attempt) {
        JsonNode answer = json(bytes);
        JsonNode entries = answer.path("entries");
        JsonNode chosen = entries.get(attempt % entries.size());
        return new Entry(chosen.path("address").asText(), answer.path("window").asLong());
    }

    private Mono<Answer> stream(String address, Prompt prompt, long startNanos) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", prompt.model());
        body.put("prompt", prompt.text());
        body.put("max_tokens", prompt.maxTokens());
        body.put("prompt_cache_key", prompt.session());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        StreamCollector collector = new StreamCollector(startNanos);
        return client.headers(headers -> headers.set("authorization", "Bearer " + prompt.key()))
                .post()
                .uri("http://" + address + "/v1/completions")
                .send(ByteBufFlux.fromString(Mono.just(body.toString())))
                .response((response, content) -> response.status().code() == 200
                        ? LineSplitter.lines(content.asByteArray())
                        : content.aggregate()
                                .asByteArray()
                                .flatMapMany(bytes -> Flux.error(
                                        refusal(address, response.status().code(), bytes))))
                .timeout(SILENCE)
                .doOnNext(collector::line)
                .then(Mono.defer(() -> collector.answer(address)));
    }

    private Mono<String> sendOrder(String address, String key, String idempotencyKey, String order) {
        return client.headers(headers -> headers.set("authorization", "Bearer " + key)
                        .set("idempotency-key", idempotencyKey)
                        .set("content-type", "text/plain"))
                .request(HttpMethod.POST)
                .uri("http://" + address + "/v1/services/orders/orders")
                .send(ByteBufFlux.fromString(Mono.just(order)))
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .flatMap(bytes -> response.status().code() == 200
                                ? Mono.just(new String(bytes, StandardCharsets.UTF_8))
                                : Mono.error(refusal(address, response.status().code(), bytes))))
                .timeout(SILENCE);
    }

    private static Exception refusal(String address, int status, byte[] bytes) {
        JsonNode error = json(bytes).path("error");
        String code = error.path("code").asText();
        String message =
                "HTTP " + status + " " + code + ": " + error.path("message").asText();
        RunState runState = error.path("run").asText().equals("not_run") ? RunState.NOT_RUN : RunState.UNKNOWN;
        boolean retryable = status == 429 || status >= 500 || code.equals("call_in_progress");
        return retryable
                ? new PeerException(Step.GENERATE, address, runState, message)
                : new FinalFailure(code, message);
    }

    private static JsonNode json(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            return JsonNodeFactory.instance.objectNode();
        }
    }

    /**
     * A prompt to send.
     *
     * @param key the team's bearer key
     * @param model the model's name
     * @param session the session key
     * @param text the prompt's text
     * @param maxTokens the most tokens
     */
    public record Prompt(String key, String model, String session, String text, int maxTokens) {}

    /**
     * A whole answer.
     *
     * @param text the text
     * @param firstTokenMillis time from the first try to the first token of the answer, in milliseconds
     * @param promptTokens tokens of the prompt
     * @param cachedTokens prompt tokens that were not recomputed
     */
    public record Answer(String text, double firstTokenMillis, int promptTokens, int cachedTokens) {}

    private record Entry(String address, long window) {}

    /** A refusal that sending again does not change. */
    static final class FinalFailure extends Exception {
        private static final long serialVersionUID = 1L;

        private final String code;

        FinalFailure(String code, String message) {
            super(message);
            this.code = code;
        }

        String code() {
            return code;
        }
    }

    /** Collects the events of a stream. */
    private static final class StreamCollector {
        private static final String DATA = "data: ";

        private final long startNanos;
        private final StringBuilder text = new StringBuilder();
        private double firstTokenMillis = -1;
        private JsonNode usage;
        private String error;
        private boolean done;

        StreamCollector(long startNanos) {
            this.startNanos = startNanos;
        }

        void line(byte[] bytes) {
            String line = new String(bytes, StandardCharsets.UTF_8);
            if (!line.startsWith(DATA)) {
                return;
            }
            String data = line.substring(DATA.length());
            if (data.equals("[DONE]")) {
                done = true;
                return;
            }
            event(json(data.getBytes(StandardCharsets.UTF_8)));
        }

        private void event(JsonNode event) {
            if (event.has("error")) {
                error = event.path("error").toString();
            }
            if (event.has("usage")) {
                usage = event.get("usage");
            }
            String token = event.path("choices").path(0).path("text").asText("");
            if (token.isEmpty()) {
                return;
            }
            if (firstTokenMillis < 0) {
                firstTokenMillis = (System.nanoTime() - startNanos) / 1e6;
            }
            text.append(token);
        }

        Mono<Answer> answer(String address) {
            if (!done || usage == null) {
                String message = error == null ? "the stream ended early" : error;
                return Mono.error(new PeerException(Step.GENERATE, address, RunState.UNKNOWN, message));
            }
            return Mono.just(new Answer(
                    text.toString(),
                    firstTokenMillis,
                    usage.path("prompt_tokens").asInt(),
                    usage.path("prompt_tokens_details").path("cached_tokens").asInt()));
        }
    }
}
