package org.cowslipbank.entry.admin;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.config.ConfigurationParser;
import org.cowslipbank.config.ConfigurationPrinter;
import org.cowslipbank.config.ConfigurationSchema;
import org.cowslipbank.decision.configuration.AuditRecord;
import org.cowslipbank.entry.configuration.ChangeOutcome;
import org.cowslipbank.entry.configuration.ChangeRequest;
import org.cowslipbank.entry.configuration.ConfigurationService;
import org.cowslipbank.entry.http.BearerKeys;
import org.cowslipbank.entry.http.HttpBodies;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.RunState;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** The operators' HTTP interface. Every path below {@code /admin} requires an operator's bearer key. */
public final class AdminApi {
    private static final String ROOT = "/admin/v1";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private final ConfigurationService configuration;
    private final Function<ChangeRequest, Mono<ChangeOutcome>> changes;
    private final Map<String, String> operatorsByKeySha256;
    private final NodeControl node;
    private final MetricRegistry metrics;
    private final Clock clock;

    /**
     * Creates the interface.
     *
     * @param configuration the node's configuration service
     * @param changes applies a configuration change
     * @param operatorsByKeySha256 operators' names by SHA-256 of their keys in lower-case hexadecimal
     * @param node status and draining of the node
     * @param metrics the node's metrics
     * @param clock clock for audit records
     */
    public AdminApi(
            ConfigurationService configuration,
            Function<ChangeRequest, Mono<ChangeOutcome>> changes,
            Map<String, String> operatorsByKeySha256,
            NodeControl node,
            MetricRegistry metrics,
            Clock clock) {
        this.configuration = configuration;
        this.changes = changes;
        this.operatorsByKeySha256 = Map.copyOf(operatorsByKeySha256);
        this.node = node;
        this.metrics = metrics;
        this.clock = clock;
    }

    /**
     * Adds the routes of health checks, metrics and the operators' interface.
     *
     * @param routes the server's routes
     */
    public void addRoutes(HttpServerRoutes routes) {
        routes.get("/healthz", (request, response) -> response.sendString(Mono.just("ok\n")));
        routes.get("/readyz", (request, response) -> sendReadiness(response));
        routes.get("/metrics", (request, response) -> response.header("content-type", "text/plain; version=0.0.4")
                .sendString(Mono.fromSupplier(() -> PrometheusText.of(metrics))));
        get(routes, "/status", (operator, request, response) -> HttpBodies.send(response, node.status()));
        get(routes, "/configuration", (operator, request, response) -> sendConfiguration(response));
        get(routes, "/schema", (operator, request, response) -> response.header("content-type", "application/json")
                .sendString(Mono.just(ConfigurationSchema.text()))
                .then());
        get(
                routes,
                "/history",
                (operator, request, response) -> HttpBodies.send(response, toJson(configuration.recentAudit())));
        get(routes, "/audit", (operator, request, response) -> configuration
                .audit()
                .collectList()
                .flatMap(records -> HttpBodies.send(response, toJson(records))));
        routes.put(
                ROOT + "/configuration",
                (request, response) -> sendingFailures(response, () -> replaceConfiguration(request, response)));
        routes.put(
                ROOT + "/{kind}/{name}",
                (request, response) -> sendingFailures(response, () -> putItem(request, response)));
        routes.delete(
                ROOT + "/{kind}/{name}",
                (request, response) -> sendingFailures(response, () -> removeItem(request, response)));
        routes.post(ROOT + "/drain", (request, response) -> sendingFailures(response, () -> drain(request, response)));
    }

    private Mono<Void> sendReadiness(HttpServerResponse response) {
        boolean isReady = node.isReady();
        return response.status(isReady ? 200 : 503)
                .sendString(Mono.just(isReady ? "ready\n" : "not ready\n"))
                .then();
    }

    private void get(HttpServerRoutes routes, String path, Handler handler) {
        routes.get(
                ROOT + path,
                (request, response) ->
                        sendingFailures(response, () -> handler.handle(authenticate(request), request, response)));
    }

    private String authenticate(HttpServerRequest request) throws RefusedException {
        String operator =
                BearerKeys.bearerSha256(request).map(operatorsByKeySha256::get).orElse(null);
        if (operator == null) {
            Refusal refusal = Refusal.invalid(401, "invalid_operator_key", "an operator's bearer key is required");
            throw new RefusedException(ProcessingStep.AUTHENTICATE, refusal);
        }
        return operator;
    }

    private Mono<Void> sendConfiguration(HttpServerResponse response) {
        Configuration current = configuration.current();
        return response.header("content-type", "application/json")
                .header("etag", "\"" + current.revision() + "\"")
                .sendString(Mono.just(ConfigurationPrinter.print(current)))
                .then();
    }

    private Mono<Void> replaceConfiguration(HttpServerRequest request, HttpServerResponse response)
            throws RefusedException {
        String operator = authenticate(request);
        return HttpBodies.read(request)
                .flatMap(body -> deferred(
                        () -> applyChange(request, response, operator, ConfigurationEdit.replace(parse(body)))));
    }

    private Mono<Void> putItem(HttpServerRequest request, HttpServerResponse response) throws RefusedException {
        String operator = authenticate(request);
        return HttpBodies.read(request)
                .flatMap(body -> deferred(() -> applyChange(
                        request,
                        response,
                        operator,
                        ItemEdits.put(request.param("kind"), request.param("name"), body))));
    }

    private Mono<Void> removeItem(HttpServerRequest request, HttpServerResponse response) throws RefusedException {
        String operator = authenticate(request);
        return deferred(() -> applyChange(
                request, response, operator, ItemEdits.remove(request.param("kind"), request.param("name"))));
    }

    private Mono<Void> drain(HttpServerRequest request, HttpServerResponse response) throws RefusedException {
        authenticate(request);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("serves_for_millis", node.drain());
        return HttpBodies.send(response, body);
    }

    private Mono<Void> applyChange(
            HttpServerRequest request, HttpServerResponse response, String operator, ConfigurationEdit edit)
            throws RefusedException {
        return changes.apply(ChangeHeaders.toRequest(request.requestHeaders(), operator, clock, edit))
                .flatMap(outcome -> sendOutcome(response, outcome));
    }

    private static Mono<Void> sendOutcome(HttpServerResponse response, ChangeOutcome outcome) {
        return switch (outcome.kind()) {
            case ACCEPTED, LAGGING, UNCHANGED -> sendAccepted(response, outcome);
            case CONFLICT -> sendRefused(response, 409, "revision_conflict", outcome, RunState.NOT_RUN, 0);
            case INVALID -> sendRefused(response, 422, "invalid_configuration", outcome, RunState.NOT_RUN, 0);
            case NOT_HEARD -> sendRefused(
                    response, 503, "data_centre_not_heard", outcome, RunState.NOT_RUN, RETRY_AFTER_MILLIS);
            case REFUSED -> sendRefused(
                    response, 503, "platform_unreachable", outcome, RunState.NOT_RUN, RETRY_AFTER_MILLIS);
            default -> sendRefused(response, 503, "outcome_unknown", outcome, RunState.UNKNOWN, RETRY_AFTER_MILLIS);
        };
    }

    private static Mono<Void> sendAccepted(HttpServerResponse response, ChangeOutcome outcome) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("outcome", outcome.kind().name().toLowerCase(Locale.ROOT));
        body.put("revision", outcome.revision());
        ArrayNode messages = body.putArray("messages");
        outcome.messages().forEach(messages::add);
        response.header("etag", "\"" + outcome.revision() + "\"");
        return HttpBodies.send(response, body);
    }

    private static Mono<Void> sendRefused(
            HttpServerResponse response,
            int status,
            String code,
            ChangeOutcome outcome,
            RunState runState,
            long retryAfterMillis) {
        String message = String.join("\n", outcome.messages());
        Refusal refusal = new Refusal(status, "configuration_error", code, message, runState, retryAfterMillis);
        response.header("etag", "\"" + outcome.revision() + "\"");
        return HttpBodies.sendFailure(response, new RefusedException(ProcessingStep.CONFIGURE, refusal));
    }

    private static Configuration parse(byte[] body) throws RefusedException {
        try {
            return ConfigurationParser.parse("request", new String(body, StandardCharsets.UTF_8));
        } catch (ConfigurationException e) {
            throw new RefusedException(
                    ProcessingStep.CONFIGURE, Refusal.invalid(422, "invalid_configuration", e.getMessage()));
        }
    }

    private static ArrayNode toJson(List<AuditRecord> records) {
        return MAPPER.valueToTree(records);
    }

    private static Mono<Void> sendingFailures(HttpServerResponse response, RefusableAction action) {
        return deferred(action).onErrorResume(error -> HttpBodies.sendFailure(response, error));
    }

    private static Mono<Void> deferred(RefusableAction action) {
        return Mono.defer(() -> {
            try {
                return action.run();
            } catch (RefusedException e) {
                return Mono.error(e);
            }
        });
    }

    /** Handles an authenticated request. */
    @FunctionalInterface
    private interface Handler {
        Mono<Void> handle(String operator, HttpServerRequest request, HttpServerResponse response)
                throws RefusedException;
    }

    /** An action that may refuse the request. */
    @FunctionalInterface
    private interface RefusableAction {
        Mono<Void> run() throws RefusedException;
    }
}
