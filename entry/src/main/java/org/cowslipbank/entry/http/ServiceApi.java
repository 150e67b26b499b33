package org.cowslipbank.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.config.Service;
import org.cowslipbank.config.Team;
import org.cowslipbank.config.Upstream;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.decision.claims.ClaimKey;
import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.StoredAnswer;
import org.cowslipbank.entry.claims.ClaimService;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.ExternalSystems;
import org.cowslipbank.ports.ServiceAnswer;
import org.cowslipbank.ports.ServiceCall;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Runs calls of plain services. A call that must not be repeated is sent only after its claim is granted. */
public final class ServiceApi implements CallerApi.ServiceCalls {
    private static final Logger LOG = LogManager.getLogger(ServiceApi.class);
    private static final String PREFIX = "/v1/services/";
    private static final String KEY_HEADER = "idempotency-key";
    // The caller gets its answer after this time even if the platform is slow to record it; recording continues.
    private static final Duration RECORD_TIMEOUT = Duration.ofMillis(500);
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final ExternalSystems systems;
    private final Supplier<ConfigurationIndex> configuration;
    private final ClaimService claims;
    private final String region;
    private final AtomicInteger inProgress = new AtomicInteger();
    private final AtomicInteger nextInstance = new AtomicInteger();

    /**
     * Creates the API.
     *
     * @param systems clients of the upstreams
     * @param configuration supplies the configuration in force
     * @param claims grants and records claims
     * @param region the node's region; calls that need a claim are served only for teams whose home region it is
     */
    public ServiceApi(
            ExternalSystems systems, Supplier<ConfigurationIndex> configuration, ClaimService claims, String region) {
        this.systems = systems;
        this.configuration = configuration;
        this.claims = claims;
        this.region = region;
    }

    /**
     * Returns the number of calls in progress, including those whose caller has disconnected.
     *
     * @return the number of calls
     */
    public int inProgress() {
        return inProgress.get();
    }

    @Override
    public Mono<Void> call(Team team, HttpServerRequest request, byte[] body, HttpServerResponse response) {
        return Mono.defer(() -> {
                    try {
                        return runCall(team, request, body);
                    } catch (RefusedException e) {
                        return Mono.error(e);
                    }
                })
                .flatMap(answer -> response.status(answer.httpStatus())
                        .header("content-type", answer.contentType())
                        .sendByteArray(Mono.just(answer.body()))
                        .then());
    }

    private Mono<ServiceAnswer> runCall(Team team, HttpServerRequest request, byte[] body) throws RefusedException {
        String[] parts = request.uri().substring(PREFIX.length()).split("(?=[/?])", 2);
        Service service = findService(team, parts[0]);
        String path = parts.length == 1 ? "/" : parts[1];
        String method = request.method().name();
        String contentType = request.requestHeaders().get("content-type", "application/octet-stream");
        ServiceCall call =
                new ServiceCall(new AttemptId("svc-" + UUID.randomUUID()), team.id(), method, path, contentType, body);
        if (service.repeatableMethods().contains(method)) {
            return runDetached(send(instances(service), call, true));
        }
        ClaimKey key = claimKey(team, request.requestHeaders().get(KEY_HEADER));
        return runDetached(claims.claim(key, fingerprint(service, call))
                .flatMap(outcome -> onClaimOutcome(outcome, key, service, call)));
    }

    private Service findService(Team team, String name) throws RefusedException {
        Optional<Service> service = configuration.get().service(name).filter(known -> team.services()
                .contains(known.name()));
        return service.orElseThrow(() -> new RefusedException(
                ProcessingStep.PARSE,
                Refusal.invalid(
                        404,
                        "service_not_found",
                        "the service '" + name + "' does not exist or the team may not call it")));
    }

    private ClaimKey claimKey(Team team, String header) throws RefusedException {
        if (!team.homeRegion().equals(region)) {
            String message = "calls that may not be repeated are served in the team's home region " + team.homeRegion();
            throw new RefusedException(ProcessingStep.CLAIM, Refusal.invalid(421, "wrong_region", message));
        }
        Optional<ClaimKey> key = header == null ? Optional.empty() : ClaimKey.parse(team.id(), header);
        String message = "the call may not be repeated and needs the header Idempotency-Key: <window>.<own part>, with"
                + " the window from GET /v1/entries, now " + claims.currentWindow();
        return key.orElseThrow(() ->
                new RefusedException(ProcessingStep.CLAIM, Refusal.invalid(400, "idempotency_key_required", message)));
    }

    // Once a claim is granted, the call runs to its end even if the caller disconnects.
    private <T> Mono<T> runDetached(Mono<T> call) {
        Mono<T> detached = Mono.defer(() -> {
                    inProgress.incrementAndGet();
                    return call;
                })
                .doFinally(signal -> inProgress.decrementAndGet())
                .cache();
        detached.subscribe(done -> {}, error -> {});
        return detached;
    }

    private Mono<ServiceAnswer> onClaimOutcome(ClaimOutcome outcome, ClaimKey key, Service service, ServiceCall call) {
        return switch (outcome.kind()) {
            case GRANTED -> runGranted(key, service, call);
            case FINISHED -> storedAnswer(outcome.answer());
            case MISMATCH -> refuse(
                    Refusal.invalid(409, "idempotency_key_reused", "the key was used before with another request"));
            case REFUSED -> refuse(
                    Refusal.later(503, "claims_unavailable", "the call cannot be recorded now", RETRY_AFTER_MILLIS));
            case EXPIRED -> refuse(unknownOutcome(409, "idempotency_key_expired", "the key's window has passed", 0));
            case IN_PROGRESS -> refuse(
                    unknownOutcome(409, "call_in_progress", "a call with this key is in progress", RETRY_AFTER_MILLIS));
            default -> refuse(unknownOutcome(
                    503, "outcome_unknown", "the call may have run; its outcome is not known", RETRY_AFTER_MILLIS));
        };
    }

    private Mono<ServiceAnswer> runGranted(ClaimKey key, Service service, ServiceCall call) {
        return send(instances(service), call, false)
                .flatMap(answer -> recordAnswer(key, answer).thenReturn(answer))
                .onErrorResume(error -> isNotRun(error) ? releaseClaim(key, error) : Mono.error(error));
    }

    private Mono<Void> recordAnswer(ClaimKey key, ServiceAnswer answer) {
        Mono<Void> recording = claims.finish(
                        key, StoredAnswer.of(answer.httpStatus(), answer.contentType(), answer.body()))
                .doOnError(error -> LOG.warn(LogFields.event("cannot record the answer of a claimed call")
                        .step(ProcessingStep.CLAIM)
                        .team(key.team())
                        .error(error)))
                .onErrorComplete()
                .cache();
        recording.subscribe();
        return recording.timeout(RECORD_TIMEOUT, Mono.empty());
    }

    private Mono<ServiceAnswer> releaseClaim(ClaimKey key, Throwable error) {
        return claims.release(key).onErrorComplete().then(Mono.error(error));
    }

    private static Mono<ServiceAnswer> storedAnswer(StoredAnswer answer) {
        if (!answer.complete()) {
            return refuse(new Refusal(
                    409,
                    "conflict_error",
                    "already_run",
                    "the call has run; its answer was too large to keep",
                    RunState.RAN,
                    0));
        }
        return Mono.just(new ServiceAnswer(answer.httpStatus(), answer.contentType(), answer.body()));
    }

    /** Sends a call; after a failure, tries the next instance only if the call did not run or may be repeated. */
    private Mono<ServiceAnswer> send(List<Upstream> instances, ServiceCall call, boolean repeatable) {
        if (instances.isEmpty()) {
            return refuse(
                    Refusal.later(503, "no_instance", "no instance of the service takes calls", RETRY_AFTER_MILLIS));
        }
        return systems.service(instances.get(0).address()).call(call).onErrorResume(error -> {
            LOG.info(LogFields.event("service call failed")
                    .request(new RequestId(call.attempt().value()))
                    .team(call.team())
                    .step(ProcessingStep.SERVICE_CALL)
                    .peer(instances.get(0).address())
                    .error(error));
            boolean tryNext = instances.size() > 1 && (repeatable || isNotRun(error));
            return tryNext ? send(instances.subList(1, instances.size()), call, repeatable) : Mono.error(error);
        });
    }

    private List<Upstream> instances(Service service) {
        ConfigurationIndex index = configuration.get();
        List<Upstream> active = service.upstreams().stream()
                .flatMap(id -> index.upstream(id).stream())
                .filter(upstream -> upstream.state() == UpstreamState.ACTIVE)
                .toList();
        if (active.size() < 2) {
            return active;
        }
        int first = Math.floorMod(nextInstance.getAndIncrement(), active.size());
        return Stream.concat(active.subList(first, active.size()).stream(), active.subList(0, first).stream())
                .toList();
    }

    private static boolean isNotRun(Throwable error) {
        return error instanceof PeerException && ((CowslipbankException) error).runState() == RunState.NOT_RUN;
    }

    private static Refusal unknownOutcome(int httpStatus, String code, String message, long retryAfterMillis) {
        return new Refusal(httpStatus, "conflict_error", code, message, RunState.UNKNOWN, retryAfterMillis);
    }

    private static <T> Mono<T> refuse(Refusal refusal) {
        return Mono.error(new RefusedException(ProcessingStep.CLAIM, refusal));
    }

    private static String fingerprint(Service service, ServiceCall call) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((service.name() + "\n" + call.method() + "\n" + call.path() + "\n")
                    .getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(call.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }
}
