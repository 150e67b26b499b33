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
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * A caller that follows the system's rules for callers: it looks up the entry nodes for its key before each attempt,
 * and after a retryable failure it looks them up and sends again.
 */
public final class CallerClient implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration RETRY_DELAY = Duration.ofMillis(150);
    private static final int MAX_ATTEMPTS = 60;

    private final ConnectionProvider connections = ConnectionProvider.builder("callers")
            .maxConnections(2_000)
            .pendingAcquireMaxCount(-1)
            .build();
    private final HttpClient client = HttpClient.create(connections).disableRetry(true);
    private final List<String> seedNodeAddresses;

    /**
     * Creates a caller.
     *
     * @param seedNodeAddresses addresses of nodes that answer look-ups, as {@code IP:port}
     */
    public CallerClient(List<String> seedNodeAddresses) {
        this.seedNodeAddresses = List.copyOf(seedNodeAddresses);
    }

    /**
     * Sends a prompt and retries until it is answered.
     *
     * @param prompt the prompt
     * @return the answer; an error if no attempt was answered, or on a permanent refusal
     */
    public Mono<Answer> complete(Prompt prompt) {
        long startNanos = System.nanoTime();
        return withRetries(attempt -> lookUpEntry(prompt.key(), prompt.session(), attempt)
                .flatMap(entry -> streamCompletion(entry.address(), prompt, startNanos)));
    }

    /**
     * Sends an order and retries, with the same idempotency key, until its outcome is known.
     *
     * @param key the team's bearer key
     * @param callerKey the part of the idempotency key that the caller chooses; the claim window precedes it
     * @param order the order's body
     * @param onNotRun called for each refusal that states that the order did not run
     * @return the answer's body; an error if the outcome is still unknown after the last attempt
     */
    public Mono<String> placeOrder(String key, String callerKey, String order, Runnable onNotRun) {
        return lookUpEntry(key, callerKey, 0).retry(MAX_ATTEMPTS).flatMap(first -> {
            String idempotencyKey = first.window() + "." + callerKey;
            return withRetries(attempt -> lookUpEntry(key, callerKey, attempt)
                    .flatMap(entry -> sendOrder(entry.address(), key, idempotencyKey, order))
                    .doOnError(error -> reportNotRun(error, onNotRun)));
        });
    }

    @Override
    public void close() {
        connections.dispose();
    }

    private <T> Mono<T> withRetries(IntFunction<Mono<T>> attempt) {
        return attemptFrom(attempt, 0);
    }

    private <T> Mono<T> attemptFrom(IntFunction<Mono<T>> attempt, int number) {
        return Mono.defer(() -> attempt.apply(number))
                .onErrorResume(error -> number + 1 < MAX_ATTEMPTS && isRetryable(error)
                        ? Mono.delay(RETRY_DELAY).then(attemptFrom(attempt, number + 1))
                        : Mono.error(error));
    }

    private static void reportNotRun(Throwable error, Runnable onNotRun) {
        if (error instanceof PeerException peer && peer.runState() == RunState.NOT_RUN) {
            onNotRun.run();
        }
    }

    private static boolean isRetryable(Throwable error) {
        return !(error instanceof PermanentFailureException);
    }

    private Mono<Entry> lookUpEntry(String key, String session, int attempt) {
        int first = Math.floorMod(session.hashCode() + attempt, seedNodeAddresses.size());
        String uri = "http://" + seedNodeAddresses.get(first) + "/v1/entries?key=" + session;
        return client.headers(headers -> headers.set("authorization", "Bearer " + key))
                .get()
                .uri(uri)
                .responseSingle((response, content) -> content.asByteArray())
                .timeout(LOOKUP_TIMEOUT)
                .map(bytes -> chooseEntry(bytes, attempt));
    }

    private static Entry chooseEntry(byte[] bytes, int attempt) {
        JsonNode answer = parseOrEmpty(bytes);
        JsonNode entries = answer.path("entries");
        JsonNode chosen = entries.get(attempt % entries.size());
        return new Entry(chosen.path("address").asText(), answer.path("window").asLong());
    }

    private Mono<Answer> streamCompletion(String address, Prompt prompt, long startNanos) {
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
                        ? LineSplitter.splitLines(content.asByteArray())
                        : content.aggregate()
                                .asByteArray()
                                .flatMapMany(bytes -> Flux.error(
                                        toException(address, response.status().code(), bytes))))
                .timeout(IDLE_TIMEOUT)
                .doOnNext(collector::acceptLine)
                .then(Mono.defer(() -> collector.toAnswer(address)));
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
                                : Mono.error(
                                        toException(address, response.status().code(), bytes))))
                .timeout(IDLE_TIMEOUT);
    }

    private static Exception toException(String address, int status, byte[] bytes) {
        JsonNode error = parseOrEmpty(bytes).path("error");
        String code = error.path("code").asText();
        String message =
                "HTTP " + status + " " + code + ": " + error.path("message").asText();
        RunState runState = error.path("run").asText().equals("not_run") ? RunState.NOT_RUN : RunState.UNKNOWN;
        boolean retryable = status == 429 || status >= 500 || code.equals("call_in_progress");
        return retryable
                ? new PeerException(ProcessingStep.GENERATE, address, runState, message)
                : new PermanentFailureException(code, message);
    }

    private static JsonNode parseOrEmpty(byte[] bytes) {
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
     * @param maxTokens largest number of tokens to generate
     */
    public record Prompt(String key, String model, String session, String text, int maxTokens) {}

    /**
     * A complete answer.
     *
     * @param text the generated text
     * @param firstTokenMillis time from the first attempt to the first token of the final answer, in milliseconds
     * @param promptTokens tokens of the prompt
     * @param cachedTokens prompt tokens served from a cache
     */
    public record Answer(String text, double firstTokenMillis, int promptTokens, int cachedTokens) {}

    private record Entry(String address, long window) {}

    /** A refusal that a retry cannot change. */
    static final class PermanentFailureException extends Exception {
        private static final long serialVersionUID = 1L;

        private final String code;

        PermanentFailureException(String code, String message) {
            super(message);
            this.code = code;
        }

        String code() {
            return code;
        }
    }

    /** Assembles an answer from the server-sent events of a stream. */
    private static final class StreamCollector {
        private static final String DATA_PREFIX = "data: ";

        private final long startNanos;
        private final StringBuilder text = new StringBuilder();
        private double firstTokenMillis = -1;
        private JsonNode usage;
        private String error;
        private boolean done;

        StreamCollector(long startNanos) {
            this.startNanos = startNanos;
        }

        void acceptLine(byte[] bytes) {
            String line = new String(bytes, StandardCharsets.UTF_8);
            if (!line.startsWith(DATA_PREFIX)) {
                return;
            }
            String data = line.substring(DATA_PREFIX.length());
            if (data.equals("[DONE]")) {
                done = true;
                return;
            }
            acceptEvent(parseOrEmpty(data.getBytes(StandardCharsets.UTF_8)));
        }

        private void acceptEvent(JsonNode event) {
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

        Mono<Answer> toAnswer(String address) {
            if (!done || usage == null) {
                String message = error == null ? "stream ended before its usage event or [DONE]" : error;
                return Mono.error(new PeerException(ProcessingStep.GENERATE, address, RunState.UNKNOWN, message));
            }
            return Mono.just(new Answer(
                    text.toString(),
                    firstTokenMillis,
                    usage.path("prompt_tokens").asInt(),
                    usage.path("prompt_tokens_details").path("cached_tokens").asInt()));
        }
    }
}
