package org.cowslipbank.entry.http;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.cowslipbank.config.Model;
import org.cowslipbank.config.Team;
import org.cowslipbank.entry.traffic.AnswerEvent;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.entry.traffic.PromptRequest;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.SessionKey;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The HTTP API for callers: completions, models, endpoint lookups and calls of plain services. */
public final class CallerApi {
    private static final String DEADLINE_HEADER = "x-request-deadline";
    private static final long DEFAULT_FIRST_TOKEN_TIMEOUT_MILLIS = 60_000;

    private final Supplier<ConfigurationIndex> configuration;
    private final Function<PromptRequest, Flux<AnswerEvent>> promptRunner;
    private final EntryLookup entries;
    private final ServiceCalls services;
    private final Gate gate;
    private final Authenticator authenticator;
    private final MonotonicClock monotonicClock;
    private final Clock wallClock;

    /**
     * Creates the API.
     *
     * @param configuration supplies the configuration in force
     * @param promptRunner runs a prompt
     * @param entries answers endpoint lookups
     * @param services runs calls of plain services
     * @param gate refuses requests while the node accepts no new work
     * @param wallClock clock against which deadlines in request headers are read
     */
    public CallerApi(
            Supplier<ConfigurationIndex> configuration,
            Function<PromptRequest, Flux<AnswerEvent>> promptRunner,
            EntryLookup entries,
            ServiceCalls services,
            Gate gate,
            Clock wallClock) {
        this.configuration = configuration;
        this.promptRunner = promptRunner;
        this.entries = entries;
        this.services = services;
        this.gate = gate;
        this.authenticator = new Authenticator(configuration);
        this.monotonicClock = MonotonicClock.SYSTEM;
        this.wallClock = wallClock;
    }

    /**
     * Adds the HTTP routes of this API.
     *
     * @param routes the server's routes
     */
    public void addRoutes(HttpServerRoutes routes) {
        routes.post("/v1/completions", (request, response) -> handleCompletion(request, response, false));
        routes.post("/v1/chat/completions", (request, response) -> handleCompletion(request, response, true));
        routes.get(
                "/v1/models", (request, response) -> withErrorResponse(response, () -> listModels(request, response)));
        routes.get(
                "/v1/entries",
                (request, response) -> withErrorResponse(response, () -> lookupEntries(request, response)));
        routes.route(
                request -> request.uri().startsWith("/v1/services/"),
                (request, response) -> withErrorResponse(response, () -> callService(request, response)));
        routes.route(
                request -> !isKnownRoute(request),
                (request, response) -> HttpBodies.sendFailure(
                        response,
                        new RefusedException(
                                ProcessingStep.PARSE, Refusal.invalid(404, "unknown_path", "there is no such path"))));
    }

    private static boolean isKnownRoute(HttpServerRequest request) {
        String path = "/" + request.path();
        boolean completion = path.equals("/v1/completions") || path.equals("/v1/chat/completions");
        if (completion) {
            return request.method().name().equals("POST");
        }
        boolean read = path.equals("/v1/models") || path.equals("/v1/entries");
        return read ? request.method().name().equals("GET") : path.startsWith("/v1/services/");
    }

    private Publisher<Void> handleCompletion(HttpServerRequest request, HttpServerResponse response, boolean chat) {
        return withErrorResponse(response, () -> {
            Team team = authenticator.authenticate(request);
            long firstTokenDeadlineMillis = firstTokenDeadlineMillis(request);
            return HttpBodies.read(request)
                    .flatMap(body -> runCompletion(response, team, body, chat, firstTokenDeadlineMillis));
        });
    }

    private Mono<Void> runCompletion(
            HttpServerResponse response, Team team, byte[] body, boolean chat, long firstTokenDeadlineMillis) {
        return Mono.defer(() -> {
            try {
                CompletionCall call = CompletionParser.parse(body, chat);
                gate.checkAcceptsRequests();
                PromptRequest prompt = promptRequest(team, call, firstTokenDeadlineMillis);
                CompletionWriter writer = new CompletionWriter(call, prompt.id().value(), wallClock.millis() / 1_000);
                response.header("x-request-id", prompt.id().value());
                return call.stream() ? sendStream(response, prompt, writer) : sendWhole(response, prompt, writer);
            } catch (RefusedException e) {
                return Mono.error(e);
            }
        });
    }

    private PromptRequest promptRequest(Team team, CompletionCall call, long firstTokenDeadlineMillis)
            throws RefusedException {
        ModelRef model = resolve(team, call);
        RequestId id = new RequestId("req-" + UUID.randomUUID());
        boolean hasSession = !call.sessionKey().isBlank();
        SessionKey session = new SessionKey(hasSession ? call.sessionKey() : id.value());
        return new PromptRequest(
                id,
                team,
                model,
                session,
                hasSession,
                call.prompt(),
                call.maxTokens(),
                call.stream(),
                firstTokenDeadlineMillis);
    }

    private ModelRef resolve(Team team, CompletionCall call) throws RefusedException {
        Optional<Model> model = configuration.get().model(call.model()).filter(found -> team.models()
                .contains(found.name()));
        if (model.isEmpty()) {
            throw notFound("the model '" + call.model() + "' does not exist or the team may not use it");
        }
        boolean adapterKnown = call.adapter().isEmpty()
                || ConfigurationIndex.activeVersion(model.get())
                        .filter(version -> version.adapters().contains(call.adapter()))
                        .isPresent();
        if (!adapterKnown) {
            throw notFound("the model '" + call.model() + "' has no adapter '" + call.adapter() + "'");
        }
        return new ModelRef(model.get().name(), model.get().activeVersion(), call.adapter());
    }

    private static RefusedException notFound(String message) {
        return new RefusedException(ProcessingStep.PARSE, Refusal.invalid(404, "model_not_found", message));
    }

    private long firstTokenDeadlineMillis(HttpServerRequest request) throws RefusedException {
        String header = request.requestHeaders().get(DEADLINE_HEADER);
        if (header == null) {
            return monotonicClock.nowMillis() + DEFAULT_FIRST_TOKEN_TIMEOUT_MILLIS;
        }
        long remainingMillis = parseDeadline(header) - wallClock.millis();
        if (remainingMillis <= 0) {
            throw new RefusedException(
                    ProcessingStep.PARSE, Refusal.invalid(400, "deadline_in_past", "the deadline has already passed"));
        }
        return monotonicClock.nowMillis() + remainingMillis;
    }

    private static long parseDeadline(String header) throws RefusedException {
        try {
            return Long.parseLong(header.trim());
        } catch (NumberFormatException e) {
            String message = DEADLINE_HEADER + " must be milliseconds since the epoch";
            throw new RefusedException(ProcessingStep.PARSE, Refusal.invalid(400, "invalid_deadline", message));
        }
    }

    private Mono<Void> sendStream(HttpServerResponse response, PromptRequest prompt, CompletionWriter writer) {
        Flux<AnswerEvent> answer = promptRunner.apply(prompt);
        // The status is sent with the first event, so that a refusal before it can set its own status.
        return answer.switchOnFirst((first, events) -> first.isOnError()
                        ? Flux.from(HttpBodies.sendFailure(response, first.getThrowable()))
                        : Flux.from(sendEvents(response, events, writer)))
                .then();
    }

    private static Mono<Void> sendEvents(
            HttpServerResponse response, Flux<AnswerEvent> events, CompletionWriter writer) {
        Flux<ByteBuf> buffers = events.map(event -> encode(writer, event))
                .onErrorResume(error -> Mono.just(writer.errorEvent(ErrorBody.refusalOf(error))));
        return response.header("content-type", "text/event-stream")
                .header("cache-control", "no-cache")
                .send(buffers, buffer -> true)
                .then();
    }

    private static ByteBuf encode(CompletionWriter writer, AnswerEvent event) {
        return event instanceof AnswerEvent.Token token
                ? writer.tokenEvent(token.text())
                : writer.finalEvents((AnswerEvent.Done) event);
    }

    private Mono<Void> sendWhole(HttpServerResponse response, PromptRequest prompt, CompletionWriter writer) {
        Mono<WholeAnswer> answer = promptRunner.apply(prompt).reduceWith(WholeAnswer::new, WholeAnswer::add);
        // Reactor Netty does not cancel a handler that has not written yet when its client disconnects.
        Mono<Void> disconnected = Mono.create(sink -> response.withConnection(
                connection -> connection.onTerminate().subscribe(null, sink::error, sink::success)));
        return answer.takeUntilOther(disconnected)
                .flatMap(done -> HttpBodies.send(response, writer.wholeBody(done.text(), done.done())));
    }

    private Mono<Void> listModels(HttpServerRequest request, HttpServerResponse response) throws RefusedException {
        Team team = authenticator.authenticate(request);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("object", "list");
        for (String name : team.models()) {
            configuration.get().model(name).ifPresent(model -> addModel(body, model));
        }
        body.withArray("data");
        return HttpBodies.send(response, body);
    }

    private static void addModel(ObjectNode body, Model model) {
        body.withArray("data").addObject().put("id", model.name()).put("object", "model");
        List<String> adapters = ConfigurationIndex.activeVersion(model)
                .map(version -> version.adapters())
                .orElse(List.of());
        adapters.forEach(adapter -> body.withArray("data")
                .addObject()
                .put("id", model.name() + ":" + adapter)
                .put("object", "model"));
    }

    private Mono<Void> lookupEntries(HttpServerRequest request, HttpServerResponse response) throws RefusedException {
        Team team = authenticator.authenticate(request);
        List<String> key = new QueryStringDecoder(request.uri()).parameters().getOrDefault("key", List.of(""));
        return HttpBodies.send(response, entries.lookup(team, key.get(0)));
    }

    private Mono<Void> callService(HttpServerRequest request, HttpServerResponse response) throws RefusedException {
        Team team = authenticator.authenticate(request);
        gate.checkAcceptsRequests();
        return HttpBodies.read(request).flatMap(body -> services.call(team, request, body, response));
    }

    private static Mono<Void> withErrorResponse(HttpServerResponse response, Handler handler) {
        return Mono.defer(() -> {
                    try {
                        return handler.handle();
                    } catch (RefusedException e) {
                        return Mono.error(e);
                    }
                })
                .onErrorResume(error -> HttpBodies.sendFailure(response, error));
    }

    /** Handles a request; a refusal may be thrown or signalled. */
    @FunctionalInterface
    private interface Handler {
        Mono<Void> handle() throws RefusedException;
    }

    /** Refuses requests while the node accepts no new work. */
    @FunctionalInterface
    public interface Gate {
        /**
         * Checks that the node accepts new requests.
         *
         * @throws RefusedException if the node accepts no new requests
         */
        void checkAcceptsRequests() throws RefusedException;
    }

    /** Answers endpoint lookups. */
    @FunctionalInterface
    public interface EntryLookup {
        /**
         * Looks up the entry nodes for a session.
         *
         * @param team the team
         * @param sessionKey the session key, empty if the caller gave none
         * @return the JSON response
         */
        ObjectNode lookup(Team team, String sessionKey);
    }

    /** Runs calls of plain services. */
    @FunctionalInterface
    public interface ServiceCalls {
        /**
         * Runs a call and writes its response.
         *
         * @param team the team
         * @param request the HTTP request
         * @param body its body
         * @param response the HTTP response
         * @return completes when the response is written
         */
        Mono<Void> call(Team team, HttpServerRequest request, byte[] body, HttpServerResponse response);
    }
}
