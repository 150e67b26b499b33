package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.cowslipbank.decision.relay.ExplainLimits;
import org.cowslipbank.entry.log.LogFields;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Answers {@code GET /explain} of the metrics listener, within {@link ExplainLimits}. */
final class ExplainEndpoint {
    private static final String RETRY_AFTER_SECONDS = "1";

    private final RelayContext context;
    private final PlacementExplainer explainer;
    private final Scheduler trafficThread;
    private final ExplainLimits limits = new ExplainLimits();

    ExplainEndpoint(RelayContext context) {
        this.context = context;
        this.explainer = new PlacementExplainer(context);
        this.trafficThread = Schedulers.fromExecutor(context.loop());
    }

    private record Answer(HttpResponseStatus status, ObjectNode body, OptionalLong number) {}

    /**
     * Returns whether a request of the metrics listener asks for an explanation.
     *
     * @param request the request
     * @return false for a request for metrics
     */
    static boolean isFor(HttpServerRequest request) {
        return new QueryStringDecoder(request.uri()).rawPath().equals(ExplainQuery.PATH);
    }

    /**
     * Answers a request for an explanation.
     *
     * @param request the request
     * @param response the response
     * @return completes once the answer is sent
     */
    Mono<Void> answer(HttpServerRequest request, HttpServerResponse response) {
        return Mono.fromCallable(() -> answerTo(request.uri()))
                .subscribeOn(trafficThread)
                .flatMap(answer -> send(answer, response));
    }

    private Mono<Void> send(Answer answer, HttpServerResponse response) {
        response.status(answer.status()).header("Content-Type", "application/json");
        if (answer.status().equals(HttpResponseStatus.TOO_MANY_REQUESTS)) {
            response.header("Retry-After", RETRY_AFTER_SECONDS);
        }
        byte[] body = answer.body().toString().getBytes(StandardCharsets.UTF_8);
        return response.sendByteArray(Mono.just(body)).then().doFinally(signal -> answer.number()
                .ifPresent(limits::end));
    }

    private Answer answerTo(String uri) {
        context.turns().onEvent();
        OptionalLong number = limits.begin(context.clocks().nowMillis());
        if (number.isEmpty()) {
            return error(
                    HttpResponseStatus.TOO_MANY_REQUESTS,
                    "too_many_explanations",
                    "the node explains one placement at a time and " + ExplainLimits.MAX_PER_SECOND + " a second",
                    number);
        }
        try {
            Optional<ObjectNode> explanation = explainer.explain(ExplainQuery.of(uri, context.codec()));
            return explanation.isPresent()
                    ? new Answer(HttpResponseStatus.OK, explanation.get(), number)
                    : error(
                            HttpResponseStatus.SERVICE_UNAVAILABLE,
                            RefusalReasons.NO_CONFIGURATION,
                            "the node has not read its configuration",
                            number);
        } catch (ExplainQuery.MalformedQueryException e) {
            return error(HttpResponseStatus.BAD_REQUEST, "malformed_query", e.getMessage(), number);
        } catch (RuntimeException e) {
            context.log()
                    .logRequest(LogFields.event("unexpected error while a placement was explained")
                            .error(e));
            return error(
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    RefusalReasons.INTERNAL_ERROR,
                    "the node could not explain the placement; see its log",
                    number);
        }
    }

    private static Answer error(HttpResponseStatus status, String code, String message, OptionalLong number) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.putObject("error").put("code", code).put("message", message);
        return new Answer(status, body, number);
    }
}
