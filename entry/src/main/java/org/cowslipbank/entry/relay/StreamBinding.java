package org.cowslipbank.entry.relay;

import java.util.Optional;

import org.cowslipbank.decision.relay.EventSplitter;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.Forwarding;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * Binds the stream of one request to the software version of the upstream at which it began, so that it goes on at no other
 * one. Has no effect on a request whose answer is no resumable stream. Runs on the traffic thread.
 */
final class StreamBinding {
    /** How long a stream that is taken up waits for the report on where it began; nodes report every 200 ms. */
    static final long ORIGIN_WAIT_MILLIS = 700;

    private final RelayContext context;
    private final RelayRequest request;
    private final Optional<Forwarding> forwarding;
    private final Route route;
    private final RequestPlacement placement;
    private final EventSplitter splitter;

    /**
     * What must be known before a stream that is taken up can go on.
     *
     * @param reason reason of the refusal if it does not become known
     * @param waitMillis time from the arrival of the request for which to wait for it, in milliseconds; zero if it cannot come
     */
    record Missing(String reason, long waitMillis) {}

    /**
     * Creates the binding of a stream that is not bound yet.
     *
     * @param context the node's shared state
     * @param request the request
     * @param forwarding what the node says that has passed the request on, empty if a client sent it
     * @param route the request's route
     * @param placement the placement of the request, which the version limits
     * @param splitter splits the stream into events
     */
    StreamBinding(
            RelayContext context,
            RelayRequest request,
            Optional<Forwarding> forwarding,
            Route route,
            RequestPlacement placement,
            EventSplitter splitter) {
        this.context = context;
        this.request = request;
        this.forwarding = forwarding;
        this.route = route;
        this.placement = placement;
        this.splitter = splitter;
    }

    /**
     * Binds a stream that the client takes up to the software version at which it began.
     *
     * @param stateReading number of the first call to the metadata store that was sent after the request was read
     * @return what must be known first, or empty if the stream is bound or the request begins a new one
     */
    Optional<Missing> takeUp(long stateReading) {
        if (!route.isStream() || !route.resumable()) {
            return Optional.empty();
        }
        if (!request.takesUpStream()) {
            // The client may have bytes of a stream, but no event with an identifier.
            forwarding.flatMap(Forwarding::softwareVersion).ifPresent(placement::requireSoftwareVersion);
            return Optional.empty();
        }
        // Read first, so that the reports and versions below include all that it stands for.
        boolean current = context.readings().isApplied(stateReading);
        Optional<String> known = forwarding.flatMap(Forwarding::softwareVersion).or(() -> context.origins()
                .find(service(), request.resumes().orElse("")));
        Optional<String> version = known.or(() -> context.origins().onlyVersion(service(), now()));
        if (version.isEmpty()) {
            return Optional.of(new Missing(RefusalReasons.STREAM_ORIGIN_UNKNOWN, ORIGIN_WAIT_MILLIS));
        }
        if (known.filter(StreamOrigins::isUnknown).isPresent()) {
            // Further reports do not settle it.
            return Optional.of(new Missing(RefusalReasons.STREAM_ORIGIN_UNKNOWN, 0));
        }
        if (!current && !isCertain()) {
            return Optional.of(missingConfirmation(
                    known.isPresent()
                            ? RefusalReasons.STREAM_ORIGIN_UNCONFIRMED
                            : RefusalReasons.SOFTWARE_VERSIONS_UNCONFIRMED));
        }
        placement.requireSoftwareVersion(version.get());
        request.lastEventId().ifPresent(splitter::resumeAfter);
        logTakeUp(version.get(), versionSource(known.isPresent()), stateReading);
        request.resumes().ifPresent(first -> context.origins().onTakenUp(service(), first, version.get(), now()));
        return Optional.empty();
    }

    /** Logs by which knowledge a stream goes on, to be compared with that of other nodes at the same revision. */
    private void logTakeUp(String version, String versionSource, long stateReading) {
        LogFields line = line("stream taken up")
                .field("softwareVersion", version)
                .field("versionFrom", versionSource)
                .field("arrivalReading", stateReading)
                .field("liveVersions", context.origins().liveVersions(service(), now()))
                .field(
                        "upstreams",
                        context.view().get().activeServers(service()).size());
        context.origins().evidence(request.resumes().orElse(""), now()).ifPresent(evidence -> line.field(
                        "originVersion", evidence.softwareVersion())
                .field("originRevision", evidence.revision())
                .field("originAgeMillis", evidence.ageMillis()));
        context.log().logRequest(line);
    }

    /** Returns whether the stream's version is known by more than where its request was sent, which may have changed since. */
    private boolean isCertain() {
        return forwarding.flatMap(Forwarding::softwareVersion).isPresent()
                || context.origins().hasBegun(request.resumes().orElse(""));
    }

    /** Asks for the newest reports and registrations: a later report, or engines of another version, may be among them. */
    private Missing missingConfirmation(String reason) {
        boolean canConfirm = context.canConfirm().getAsBoolean();
        if (canConfirm) {
            context.refresh().run();
        }
        return new Missing(reason, canConfirm ? ORIGIN_WAIT_MILLIS : 0);
    }

    private String versionSource(boolean known) {
        if (forwarding.flatMap(Forwarding::softwareVersion).isPresent()) {
            return "other_node";
        }
        if (!known) {
            return "only_version";
        }
        String first = request.resumes().orElse("");
        if (context.origins().hasBegun(first)) {
            return "own";
        }
        boolean sent = context.origins()
                .evidence(first, now())
                .filter(StreamOrigins.Evidence::own)
                .isPresent();
        return sent ? "sent" : "report";
    }

    /**
     * Returns whether the request goes on with a stream that has begun, at an engine of the version that began it.
     *
     * @return false if the stream may begin at any engine
     */
    boolean goesOn() {
        return placement.targetsEngines() && placement.requiredSoftwareVersion().isPresent();
    }

    /** Keeps a begun stream from going on if the engine that began it may have had another version than it was registered with. */
    void checkOrigin() {
        if (placement.requiredSoftwareVersion().isEmpty()) {
            return;
        }
        // Other reports are no reason to go on elsewhere: one from before the first event may have been replaced since.
        if (context.origins().isDoubted(request.resumes().orElse(request.id()))) {
            placement.requireSoftwareVersion(StreamOrigins.UNKNOWN_VERSION);
        }
    }

    /**
     * Returns whether the client may get the answer of an upstream, and reports its version if it may not.
     *
     * @param target the upstream, or the node that has passed its answer on
     * @return false until the store has acknowledged a report of this version, because it may hold one of another version
     */
    boolean mayBegin(AttemptTarget target) {
        if (!route.resumable() || placement.requiredSoftwareVersion().isPresent()) {
            return true;
        }
        return target.softwareVersion()
                .map(version -> context.originReports().mayBegin(service(), request.id(), version, serverId(target)))
                .orElse(true);
    }

    /**
     * Returns whether a report of the version of an upstream that answers is the newest one.
     *
     * @param target the upstream, or the node that has passed its answer on
     * @return false while the store may hold one of another version
     */
    boolean isReported(AttemptTarget target) {
        return target.softwareVersion()
                .map(version -> context.originReports().allows(request.id(), version))
                .orElse(true);
    }

    private static String serverId(AttemptTarget target) {
        return target.upstream().map(UpstreamServer::id).orElse("");
    }

    /**
     * Binds the stream to the version of the upstream that answers. To be called before the client gets anything of its answer;
     * has no effect on a stream that is bound.
     *
     * @param target the upstream, or the node that has passed its answer on
     */
    void onBegun(AttemptTarget target) {
        if (!route.resumable() || placement.requiredSoftwareVersion().isPresent()) {
            return;
        }
        target.softwareVersion().ifPresent(version -> {
            placement.requireSoftwareVersion(version);
            if (forwarding.isPresent()) {
                context.origins().onPassedBack(service(), request.id(), version, serverId(target), now());
            } else {
                context.origins().onBegun(service(), request.id(), version, serverId(target), now());
            }
            log("stream begun", target);
        });
    }

    /**
     * Logs which stream goes on where, and by which knowledge of the registrations.
     *
     * @param event what happened
     * @param target the upstream or node that answers
     */
    void log(String event, AttemptTarget target) {
        LogFields line = line(event);
        target.describe(line);
        context.log().logRequest(line);
    }

    private LogFields line(String event) {
        LogFields line = LogFields.event(event)
                .field("request", request.id())
                .field("lastEventId", splitter.lastEventId().orElse(""))
                .field("storeRevision", context.view().get().revision())
                .field("stateReading", context.readings().newestApplied())
                .field("confirmationAgeMillis", context.confirmationAgeMillis());
        request.resumes().ifPresent(first -> line.field("resumes", first));
        return line;
    }

    private String service() {
        return placement.service();
    }

    private long now() {
        return context.clocks().nowMillis();
    }
}
