package org.cowslipbank.entry.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.cowslipbank.decision.relay.CapacityMisses;
import org.cowslipbank.decision.relay.EndEvidence;
import org.cowslipbank.decision.relay.EventSplitter;
import org.cowslipbank.decision.relay.ForwardingNodes;
import org.cowslipbank.decision.relay.HeldBytes;
import org.cowslipbank.decision.relay.RetryDelay;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.decision.relay.UpstreamLoads.Outcome;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.decision.relay.WaitingQueue;
import org.cowslipbank.decision.retry.RetryQuestion;
import org.cowslipbank.decision.retry.RetryVerdict;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.relay.PromptPart;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.AnswerHead;
import org.cowslipbank.ports.relay.ForwardedAnswer;
import org.cowslipbank.ports.relay.Forwarding;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * One client request from its arrival to the end of its answer, over all attempts at upstreams. Runs on the traffic
 * thread.
 *
 * <p>An answer that is not a stream is buffered until it is complete, so that a broken one can still be retried or
 * replaced by an error. Of a resumable stream only whole events are forwarded, so that another upstream can continue
 * after the last one.
 */
final class Exchange {
    /** Interval of the check whether the upstream has fallen silent. */
    static final long SILENCE_CHECK_MILLIS = 100;

    /** Usual time from the send to the first event of a stream; reading a long prompt takes 200 ms. */
    static final long STREAM_FIRST_EVENT_MILLIS = 250;

    /** Usual time of a request at a plain service. */
    static final long PLAIN_REQUEST_MILLIS = 40;

    /** Shortest wait after which clients abandon a stream without a first event; stated by the platform. */
    static final long STREAM_PATIENCE_MILLIS = 2_000;

    /** Multiple of the latency objective after which clients abandon such a stream, if that is longer. */
    static final long STREAM_PATIENCE_OBJECTIVES = 4;

    /** Multiple of the latency objective for which a plain request is queued; then its client is asked to retry. */
    static final long PLAIN_PATIENCE_OBJECTIVES = 2;

    /** How long a broken stream waits for another upstream; clients abandon it after 2 s without an event. */
    static final long MAX_RESUME_WAIT_MILLIS = 1_500;

    /** How long a request waits for the first configuration after the node has started. */
    static final long FIRST_CONFIGURATION_WAIT_MILLIS = 700;

    /** How long a request waits for the configuration to be confirmed while the metadata store is reachable. */
    static final long CONFIRMATION_WAIT_MILLIS = 250;

    /** Interval at which a request that waits for a configuration or a report tries again. */
    private static final long RESOLVE_RETRY_MILLIS = 15;

    /** Limit on further sends after upstreams stated that they did not run the request. */
    static final int MAX_REJECTED_SENDS = 6;

    /** Retry delay sent with a refusal; upstreams that load weights or restart are back by then. */
    static final long RETRY_AFTER_MILLIS = 300;

    /** Retry delay sent if this node lost the metadata store; the client can retry at another node. */
    static final long RETRY_ELSEWHERE_AFTER_MILLIS = 50;

    /** Largest answer body that is buffered. */
    static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /** Largest body of a rejection that is read to its end to keep the connection; a longer one ends it. */
    static final int MAX_REJECTION_BYTES = 16 * 1024;

    /**
     * Longest time between two events of a stream while its engine sends other bytes. An engine that reads other prompts
     * or reads this one again pauses for less than a second; clients abandon a stream after two.
     */
    static final long STALL_LIMIT_MILLIS = 1_500;

    /** Retry delay sent by a node that stops; the other nodes serve. */
    static final long RETRY_AT_OTHER_NODE_AFTER_MILLIS = 10;

    /**
     * Longest time for which a first event is held until the store has acknowledged the report on it; clients abandon a stream
     * after 2 s without an event.
     */
    static final long MAX_REPORT_WAIT_MILLIS = 1_500;

    /** Limit on nodes to which a request is passed. */
    static final int MAX_NODES = 3;

    private static final int HTTP_UNAVAILABLE = 503;

    /** Statuses that tell a client that its request has not run. */
    private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, HTTP_UNAVAILABLE);

    private static final String ANSWERED = "answered";
    static final String ANONYMOUS_TEAM = "anonymous";

    private final RelayContext context;
    private final ResponseWriter client;
    private final RelayRequest request;
    private final Optional<Forwarding> forwarding;
    private final AnswerHeaders answerHeaders;
    private final ByteBuf body;
    private final long arrivedMillis;
    private final long readMillis;
    private final Set<String> triedIncarnations = new HashSet<>();
    private final Set<String> triedNodes = new HashSet<>();
    private final EventSplitter splitter = new EventSplitter();
    /** Number of the first call to the metadata store that is sent after this request was read. */
    private final long stateReading;

    private PlatformView view;
    private RequestSuspects suspects;
    private Route route;
    private Optional<RelayTeam> team = Optional.empty();
    private String service = "";
    private RequestPlacement placement;
    private StreamBinding binding;
    private long deadlineMillis;
    private long firstByteMillis = -1;
    private Future<?> deadlineTimer;
    private boolean queued;
    private RunningAttempt attempt;
    private HedgedAttempts hedged = HedgedAttempts.NONE;
    private int possibleRuns;
    private int rejections;
    private int sends;
    private int retriesTaken;
    /** True while a stream that was broken off waits for a retry from the budget. */
    private boolean retryOwed;

    private boolean headSent;
    private boolean ended;
    private String lastFailure = "";
    private UpstreamSelector.Choice lastChoice;
    /** How the end of the stream was framed, empty before it. */
    private Optional<AnswerAnomaly.Framing> framing = Optional.empty();

    /**
     * Creates an exchange.
     *
     * @param context the node's shared state
     * @param client writes the answer
     * @param request the request
     * @param forwarding what the node says that has passed the request on, empty if a client sent it
     * @param body the request's body; released at the end of the exchange
     * @param arrivedMillis the earliest time at which the request can have arrived, in milliseconds
     */
    Exchange(
            RelayContext context,
            ResponseWriter client,
            RelayRequest request,
            Optional<Forwarding> forwarding,
            ByteBuf body,
            long arrivedMillis) {
        this.context = context;
        this.client = client;
        this.request = request;
        this.forwarding = forwarding;
        this.answerHeaders = new AnswerHeaders(context.codec(), forwarding);
        this.possibleRuns = forwarding.map(Forwarding::runs).orElse(0);
        this.body = body;
        this.arrivedMillis = arrivedMillis;
        this.readMillis = context.clocks().nowMillis();
        this.stateReading = context.readings().next();
    }

    /** Starts the exchange; the answer may be complete before this returns. */
    void start() {
        context.metrics().onRequest();
        forwarding.ifPresent(from -> context.metrics().onServedForOther());
        guarded(this::resolveRoute);
    }

    private void resolveRoute() {
        if (ended) {
            return;
        }
        boolean confirmed = context.isConfirmed();
        boolean recent = context.isConfigurationRecent();
        view = context.view().get();
        if (view.routes().isEmpty()) {
            waitOrRefuse(RefusalReasons.NO_CONFIGURATION, FIRST_CONFIGURATION_WAIT_MILLIS);
            return;
        }
        RouteTable routes = view.routes().get();
        if (forwarding.isPresent()
                && routes.configuration().version() < forwarding.get().configurationVersion()) {
            waitOrRefuse(RefusalReasons.CONFIGURATION_OLDER, CONFIRMATION_WAIT_MILLIS);
            return;
        }
        Optional<Route> found = routes.route(request.host(), request.path());
        if (!recent && (found.isEmpty() || context.mustAwaitNewest(hasWaited(CONFIRMATION_WAIT_MILLIS)))) {
            // A newer configuration may have the route, or may have changed it.
            waitForConfirmation();
            return;
        }
        if (found.isEmpty()) {
            fail(404, RefusalReasons.NO_ROUTE);
            return;
        }
        route = found.get();
        if (!authenticate(routes, confirmed, recent)) {
            return;
        }
        if (request.id().isEmpty()) {
            fail(400, RefusalReasons.NO_REQUEST_ID);
            return;
        }
        Optional<String> chosen = RouteTable.chooseService(route, RequestPlacement.affinityKey(request));
        if (chosen.isEmpty()) {
            refuse(RefusalReasons.NO_SERVICE, RETRY_AFTER_MILLIS);
            return;
        }
        service = chosen.get();
        RequestPlacement.Target target = RequestPlacement.Target.of(routes, service, team, route, body.readableBytes());
        placement = new RequestPlacement(
                context, request, target, server -> context.waiting().reservedTokens(this, server));
        binding = new StreamBinding(context, request, forwarding, route, placement, splitter);
        Optional<StreamBinding.Missing> missing = binding.takeUp(stateReading);
        if (missing.isPresent()) {
            waitOrRefuse(missing.get().reason(), missing.get().waitMillis());
            return;
        }
        suspects = new RequestSuspects(
                context, request, new TeamId(team.map(RelayTeam::name).orElse(ANONYMOUS_TEAM)), body);
        if (suspects.areRefused()) {
            refuse(RefusalReasons.CRASHED_UPSTREAMS, RETRY_AFTER_MILLIS);
            return;
        }
        long waitMillis = Math.min(request.timeoutMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        deadlineMillis = arrivedMillis + waitMillis;
        if (!context.stop().mayServe(route, deadlineMillis)) {
            refuse(RefusalReasons.NODE_STOPPING, RETRY_AT_OTHER_NODE_AFTER_MILLIS);
            return;
        }
        deadlineTimer = schedule(this::onDeadline, deadlineMillis - now());
        boolean countedElsewhere = context.reachability().isCutOff() && forwarding.isEmpty();
        if (possibleRuns == 0 && !countedElsewhere) {
            context.retries().onRequest(service, now());
            context.hedging().ifPresent(policy -> policy.onRequest(service, now()));
        }
        if (context.hedging().isPresent()) {
            hedged = HedgedAttempts.of(
                    context,
                    forwarding,
                    new HedgedAttempts.Request(route, placement, triedIncarnations, suspects),
                    new HedgedAttempts.Steps(
                            // A request of which an attempt broke may have crashed its upstream.
                            () -> client.isOpen() && possibleRuns == 0 && hasRetryLeft(1),
                            () -> takeRetry(1),
                            this::attemptAt,
                            this::dropOneOfTwo,
                            this::schedule));
        }
        context.waiting().onRequest(placement.demand());
        submitStart();
    }

    private boolean authenticate(RouteTable routes, boolean confirmed, boolean recent) {
        if (route.anonymous() || !routes.requiresKeys()) {
            return true;
        }
        if (!confirmed) {
            // An unconfirmed configuration may still contain revoked keys.
            waitForConfirmation();
            return false;
        }
        team = request.bearerKey().flatMap(routes::team);
        if (team.isEmpty() && !recent) {
            // A newer configuration may have the key.
            waitForConfirmation();
            return false;
        }
        if (team.isEmpty()) {
            fail(401, RefusalReasons.UNKNOWN_KEY);
            return false;
        }
        return true;
    }

    // After a suspension of the VM the confirmation comes within milliseconds; without contact to the metadata store
    // it may not come at all.
    private void waitForConfirmation() {
        boolean canConfirm = context.canConfirm().getAsBoolean();
        if (canConfirm) {
            // A hub's next answer may come too late, or not be recent enough.
            context.refresh().run();
        }
        waitOrRefuse(RefusalReasons.CONFIGURATION_UNCONFIRMED, canConfirm ? CONFIRMATION_WAIT_MILLIS : 0);
    }

    private boolean hasWaited(long waitMillis) {
        return now() - arrivedMillis >= waitMillis;
    }

    private void waitOrRefuse(String reason, long waitMillis) {
        if (!hasWaited(waitMillis)) {
            deadlineTimer = schedule(this::resolveRoute, RESOLVE_RETRY_MILLIS);
        } else {
            refuse(reason, RETRY_ELSEWHERE_AFTER_MILLIS);
        }
    }

    /** Lets the request be started at an upstream after the sockets have been read, or refuses it at once. */
    private void submitStart() {
        if (ended) {
            return;
        }
        OptionalLong refused = context.starter().submit(this, waitingTimes());
        if (refused.isPresent()) {
            giveUp(RefusalReasons.OVERLOADED, Math.max(RETRY_AFTER_MILLIS, refused.getAsLong()));
        }
    }

    /**
     * Starts an attempt, or queues the request until an upstream has room.
     *
     * @param expired true if the request has waited for too long and is given up
     */
    void startAttempt(boolean expired) {
        binding.checkOrigin();
        if (ended || !client.isOpen()) {
            // The exchange ends when the close of a connection is reported, which follows in this turn.
            return;
        }
        if (now() >= deadlineMillis) {
            onDeadline();
        } else if (suspects.areRefused()) {
            giveUp(RefusalReasons.CRASHED_UPSTREAMS);
        } else if (isTooLateToSend()) {
            giveUp(RefusalReasons.NODE_STOPPING, RETRY_AT_OTHER_NODE_AFTER_MILLIS);
        } else if (expired) {
            giveUp(RefusalReasons.OVERLOADED, RETRY_AFTER_MILLIS);
        } else if (!placement.isPossible(context.view().get())) {
            giveUp(RefusalReasons.VERSION_GONE);
        } else if (!placement.isReportable(context.view().get(), triedIncarnations)) {
            giveUp(RefusalReasons.STREAM_REPORT_NOT_REPLACED, RETRY_ELSEWHERE_AFTER_MILLIS);
        } else if (yieldsToQueue() || !tryStartAttempt() && !refuseInPause()) {
            enqueue();
        }
    }

    private boolean yieldsToQueue() {
        return !headSent && context.waiting().hasMoreUrgent(placement.demand());
    }

    private void enqueue() {
        OptionalLong refused = context.waiting().add(this, placement, waitingTimes());
        queued = refused.isEmpty();
        refused.ifPresent(delayMillis -> giveUp(RefusalReasons.BACKLOG, delayMillis));
    }

    /** Returns whether the node ends before a send could. A stream that was broken off loses nothing by a late one. */
    private boolean isTooLateToSend() {
        return !headSent && !context.stop().mayServe(route, deadlineMillis);
    }

    /** Gives the request up at once if all upstreams want a pause beyond its time. */
    private boolean refuseInPause() {
        OptionalLong endMillis = placement.pauseEndMillis(context.view().get());
        if (endMillis.isEmpty() || endMillis.getAsLong() < waitingTimes().giveUpMillis()) {
            return false;
        }
        context.metrics().onKeptBack();
        giveUp(RefusalReasons.UPSTREAMS_PAUSE, Math.max(RETRY_AFTER_MILLIS, endMillis.getAsLong() - now()));
        return true;
    }

    /**
     * Retries a queued exchange, and gives it up if its time in the queue has expired.
     *
     * @param expired true if it may not wait any longer
     * @param mayFit false if no upstream has capacity for it
     * @return true if it leaves the queue
     */
    boolean retryQueued(boolean expired, boolean mayFit) {
        binding.checkOrigin();
        if (!ended && suspects.areRefused()) {
            queued = false;
            giveUp(RefusalReasons.CRASHED_UPSTREAMS);
            return true;
        }
        if (!ended && isTooLateToSend()) {
            queued = false;
            giveUp(RefusalReasons.NODE_STOPPING, RETRY_AT_OTHER_NODE_AFTER_MILLIS);
            return true;
        }
        if (!ended && !placement.isPossible(context.view().get())) {
            queued = false;
            giveUp(RefusalReasons.VERSION_GONE);
            return true;
        }
        if (!ended && !placement.isReportable(context.view().get(), triedIncarnations)) {
            queued = false;
            giveUp(RefusalReasons.STREAM_REPORT_NOT_REPLACED, RETRY_ELSEWHERE_AFTER_MILLIS);
            return true;
        }
        if (ended || mayFit && tryStartAttempt()) {
            queued = false;
            return true;
        }
        if (refuseInPause()) {
            queued = false;
            return true;
        }
        if (expired) {
            queued = false;
            giveUp(RefusalReasons.NO_ROOM);
        }
        return expired;
    }

    private boolean tryStartAttempt() {
        view = context.view().get();
        if (retryOwed) {
            if (!canSendElsewhere() || !takeRetry(possibleRuns)) {
                return false;
            }
            retryOwed = false;
            countFurtherAttempt();
        }
        if (context.reachability().isCutOff()) {
            return forward() || startAtUpstream();
        }
        return startAtUpstream();
    }

    /** Passes the request to another node, or refuses it at once if no upstream can be reached at all. */
    private boolean forward() {
        if (forwarding.isPresent()) {
            unable(RefusalReasons.NODE_CUT_OFF);
            return true;
        }
        Optional<ForwardingNodes.Node> node = chooseNode();
        if (node.isPresent()) {
            triedNodes.add(node.get().name());
            context.waiting().onPlaced(this, placement.demand());
            Forwarding about = new Forwarding(
                    view.routes()
                            .map(routes -> routes.configuration().version())
                            .orElse(0L),
                    possibleRuns,
                    placement.requiredSoftwareVersion());
            attempt = new Attempt(new NodeTarget(context, request, node.get(), about));
            attempt.start();
            return true;
        }
        if (context.reachability().hasContact(now())) {
            // Connections that were opened before still bring data.
            return false;
        }
        giveUp(RefusalReasons.NO_REACHABLE_UPSTREAM);
        return true;
    }

    private Optional<ForwardingNodes.Node> chooseNode() {
        return triedNodes.size() < MAX_NODES
                ? context.forwarding().choose(triedNodes, RequestPlacement.affinityKey(request))
                : Optional.empty();
    }

    private boolean startAtUpstream() {
        Optional<UpstreamSelector.Choice> choice = choose().or(() -> placement.chooseInPause(view, triedIncarnations));
        if (choice.isEmpty()) {
            return false;
        }
        lastChoice = choice.get();
        context.waiting().onPlaced(this, placement.demand());
        attempt = attemptAt(lastChoice);
        attempt.start();
        return true;
    }

    private Attempt attemptAt(UpstreamSelector.Choice choice) {
        triedIncarnations.add(choice.server().incarnation());
        return new Attempt(new UpstreamTarget(context, placement, request, route, choice));
    }

    /**
     * Runs a step of the exchange. An unexpected error ends this exchange alone.
     *
     * @param step the step
     */
    void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            lastFailure = "unexpected error: " + e;
            logUnexpectedError(e);
            endAfterError();
        }
    }

    private void endAfterError() {
        if (ended) {
            return;
        }
        try {
            endAttempt(Outcome.ABANDONED);
            if (!headSent) {
                fail(502, RefusalReasons.INTERNAL_ERROR);
            }
        } catch (RuntimeException e) {
            logUnexpectedError(e);
        }
        if (!ended) {
            abort(RefusalReasons.INTERNAL_ERROR);
        }
    }

    private void logUnexpectedError(RuntimeException error) {
        context.metrics().onUnexpectedError();
        StackTraceElement[] trace = error.getStackTrace();
        context.log()
                .logRequest(LogFields.event("unexpected error in a step of a request")
                        .field("request", request.id())
                        .field("ended", ended)
                        .field("headSent", headSent)
                        .field("thrownAt", trace.length == 0 ? "" : trace[0].toString())
                        .error(error));
    }

    private WaitingQueue.Times waitingTimes() {
        long nowMillis = now();
        if (headSent) {
            return WaitingQueue.Times.ofBegunStream(
                    arrivedMillis, Math.min(deadlineMillis, nowMillis + MAX_RESUME_WAIT_MILLIS));
        }
        long serviceMillis = route.isStream() ? STREAM_FIRST_EVENT_MILLIS : PLAIN_REQUEST_MILLIS;
        long patienceMillis = route.isStream()
                ? Math.max(STREAM_PATIENCE_MILLIS, STREAM_PATIENCE_OBJECTIVES * route.latencyObjectiveMillis())
                : PLAIN_PATIENCE_OBJECTIVES * route.latencyObjectiveMillis();
        // The time of arrival is the earliest possible one, so patience counts from the time of reading.
        long giveUpMillis = Math.min(deadlineMillis - serviceMillis, readMillis + patienceMillis - serviceMillis);
        if (placement.requiredSoftwareVersion().isPresent()) {
            return WaitingQueue.Times.ofBegunStream(arrivedMillis, giveUpMillis);
        }
        return new WaitingQueue.Times(
                arrivedMillis, arrivedMillis + route.latencyObjectiveMillis() - serviceMillis, giveUpMillis);
    }

    private boolean canSendElsewhere() {
        if (!context.reachability().isCutOff()) {
            return choose().isPresent();
        }
        boolean bySelf = context.reachability().hasContact(now()) && choose().isPresent();
        return forwarding.isEmpty() && (chooseNode().isPresent() || bySelf);
    }

    private Optional<UpstreamSelector.Choice> choose() {
        view = context.view().get();
        return placement.choose(view, triedIncarnations);
    }

    /**
     * Returns the engine at which room should be reserved for this queued exchange.
     *
     * @return the engine, or empty if no room should be reserved
     */
    Optional<UpstreamServer> reservationTarget() {
        return placement.reservationTarget(view, triedIncarnations);
    }

    /**
     * Returns which requests may use the same upstreams as this queued one.
     *
     * @return the class, or empty if this one's upstreams are limited by its earlier attempts, by its body, or by the node's links
     */
    Optional<CapacityMisses.SizeClass> sizeClass() {
        boolean limited = !triedIncarnations.isEmpty()
                || placement.requiredSoftwareVersion().isPresent()
                || body.readableBytes() > HeldBytes.SMALL_BODY_BYTES
                || context.reachability().isCutOff();
        return limited ? Optional.empty() : Optional.of(RequestDemand.sizeClass(placement.demand(), request));
    }

    /** Returns whether this queued exchange would be sent if any upstream that accepts requests had capacity. */
    boolean waitsForCapacity() {
        return sizeClass().isPresent() && placement.mostUpstreamsAccept();
    }

    /** Returns whether this exchange has had no attempt here and cannot have run at the node that has passed it on. */
    boolean isUnsent() {
        return possibleRuns == 0 && rejections == 0 && !headSent;
    }

    /**
     * Returns the length of the prompt in tokens.
     *
     * @return the tokens, zero without a prompt
     */
    int promptTokens() {
        return request.prompt().map(PromptShape::promptTokens).orElse(0);
    }

    /** Ends the exchange without a further attempt. */
    private void giveUp(String reason) {
        giveUp(reason, RETRY_AFTER_MILLIS);
    }

    private void giveUp(String reason, long retryAfterMillis) {
        if (headSent) {
            abort(reason);
        } else if (possibleRuns > 0) {
            fail(502, reason);
        } else {
            refuse(reason, retryAfterMillis);
        }
    }

    private void onDeadline() {
        endWithoutUpstream(RefusalReasons.TIMEOUT, 0);
    }

    /** Called when the node ends. A stream that has begun goes on until the process is gone. */
    void onNodeEnding() {
        if (!headSent) {
            guarded(() -> endWithoutUpstream(RefusalReasons.NODE_STOPPING, RETRY_AT_OTHER_NODE_AFTER_MILLIS));
        }
    }

    private void endWithoutUpstream(String reason, long retryAfterMillis) {
        if (ended) {
            return;
        }
        boolean mayHaveRun = possibleRuns > 0 || attempt != null && attempt.sent || hedged.isSent();
        endAttempt(attempt != null && attempt.isSilent() ? Outcome.SILENT : Outcome.ABANDONED);
        if (headSent) {
            abort(reason);
        } else if (mayHaveRun) {
            fail(504, reason);
        } else {
            refuse(reason, retryAfterMillis);
        }
    }

    /** Called when the client has closed its connection. */
    void onClientGone() {
        if (ended) {
            return;
        }
        endAttempt(Outcome.ABANDONED);
        context.metrics().onClientGone();
        finish("client_gone", 0);
    }

    /** Called when the client's connection becomes writable or stops being writable. */
    void onWritabilityChanged() {
        // Other answers are buffered whole, whether the client reads or not.
        if (attempt != null && attempt.streaming && !attempt.endHeld) {
            attempt.connection.pauseReading(client.isBackpressured());
        }
    }

    private void endAttempt(Outcome outcome) {
        possibleRuns += hedged.cancel();
        if (attempt != null) {
            attempt.cancel(outcome);
            attempt = null;
        }
    }

    private void onAttemptFailed(RunningAttempt failed, Outcome outcome, boolean mayHaveRun, String message) {
        recordFailure(failed, outcome, mayHaveRun, message);
        if (attempt != null) {
            // The other one of two attempts goes on.
            return;
        }
        if (mayRetry()) {
            countFurtherAttempt();
            submitStart();
        } else if (headSent && hasRetryLeft(possibleRuns)) {
            // In a task of its own: the failure may be reported while the queue is being tried.
            schedule(this::awaitRetryBudget, 0);
        } else {
            giveUp(RefusalReasons.ATTEMPTS_FAILED);
        }
    }

    /** Waits for a retry: the budget grows with each request, and a stream that has begun is lost if it is cut off. */
    private void awaitRetryBudget() {
        if (!ended) {
            retryOwed = true;
            enqueue();
        }
    }

    private void recordFailure(RunningAttempt failed, Outcome outcome, boolean mayHaveRun, String message) {
        lastFailure = outcome + " at " + failed.target.address() + ": " + message;
        context.log().logRequest(failureLine(failed, outcome, message));
        failed.settle(outcome);
        if (failed.sent && failed.target.upstream().isEmpty()) {
            context.originReports().onPassedOn(request.id());
        }
        attempt = hedged.onFailed(failed, attempt);
        if (mayHaveRun) {
            possibleRuns++;
            suspects.onPossibleRun();
        } else {
            rejections++;
        }
        if (outcome == Outcome.BROKEN && !failed.isEstablished(now()) && !failed.upstreamExited) {
            failed.target.upstream().ifPresent(server -> suspects.reportBroken(server, failed.sentMillis));
        }
        splitter.discardIncompleteEvent();
    }

    private LogFields failureLine(RunningAttempt failed, Outcome outcome, String message) {
        LogFields line = LogFields.event("attempt failed")
                .field("request", request.id())
                .field("outcome", outcome)
                .field("reason", message)
                .field("lastEventId", splitter.lastEventId().orElse(""));
        failed.describe(line, now());
        request.prompt()
                .ifPresent(prompt -> line.field(
                        "sharedParts",
                        prompt.sharedParts().stream().map(PromptPart::id).toList()));
        return line;
    }

    private void countFurtherAttempt() {
        context.metrics().onFurtherAttempt();
        if (headSent) {
            context.metrics().onResume();
        }
    }

    /**
     * Moves the request away from an upstream that may still go on. A retry was taken for it, and another upstream is
     * available, so it is not enqueued behind other starts, where it could be refused.
     */
    private void move(RunningAttempt moved, Outcome outcome, String message) {
        recordFailure(moved, outcome, true, message);
        if (attempt != null) {
            return;
        }
        countFurtherAttempt();
        // The sockets are read before, so that a close by the client is noticed.
        schedule(() -> startAttempt(false), 0);
    }

    /** Ends one of two attempts that run. */
    private void dropOneOfTwo(RunningAttempt dropped) {
        Outcome outcome = dropped.isSilent() ? Outcome.SILENT : Outcome.ABANDONED;
        dropped.cancelConnection();
        recordFailure(dropped, outcome, true, "another attempt has run beside it for long enough");
    }

    private boolean mayRetry() {
        return hasRetryLeft(possibleRuns) && takeRetry(possibleRuns);
    }

    private boolean hasRetryLeft(int runs) {
        boolean resumes = !headSent || route.isStream() && route.resumable() && splitter.canGoOnElsewhere();
        boolean attemptsLeft = runs < route.maxAttempts() && rejections <= MAX_REJECTED_SENDS;
        return resumes && attemptsLeft && now() < deadlineMillis && (runs == 0 || route.isRepeatable());
    }

    /** Takes a retry from the budget, if one is left. Attempts that ended before they were sent have used none. */
    private boolean takeRetry(int runs) {
        if (sends <= retriesTaken) {
            return true;
        }
        RetryQuestion question = new RetryQuestion(
                2, runs > 0 ? RunState.UNKNOWN : RunState.NOT_RUN, route.isRepeatable(), headSent, false);
        RetryVerdict verdict =
                context.retries().decide(service, question, view.nodes().size(), now());
        if (verdict != RetryVerdict.ALLOWED) {
            return false;
        }
        retriesTaken++;
        return true;
    }

    /** Refuses a request of another node so that it may be passed to a third one. */
    private void unable(String reason) {
        if (headSent || possibleRuns > forwarding.map(Forwarding::runs).orElse(0)) {
            giveUp(reason);
            return;
        }
        answerWithoutBody(503, reason, RETRY_ELSEWHERE_AFTER_MILLIS, ForwardedAnswer.Kind.UNABLE);
    }

    private void refuse(String reason, long retryAfterMillis) {
        boolean mayRunElsewhere = forwarding.isPresent()
                && RefusalReasons.isOfThisNode(reason)
                && possibleRuns == forwarding.get().runs();
        answerWithoutBody(
                503,
                reason,
                RetryDelay.spreadMillis(retryAfterMillis, request.id()),
                mayRunElsewhere ? ForwardedAnswer.Kind.UNABLE : ForwardedAnswer.Kind.OWN);
    }

    private void fail(int status, String reason) {
        answerWithoutBody(status, reason, 0, ForwardedAnswer.Kind.OWN);
    }

    private void answerWithoutBody(int status, String reason, long retryAfterMillis, ForwardedAnswer.Kind kind) {
        ForwardedAnswer about = new ForwardedAnswer(kind, possibleRuns, Optional.empty(), reason);
        client.writeHead(status, answerHeaders.ofRefusal(request.id(), retryAfterMillis, about), OptionalLong.of(0));
        client.end();
        finish(reason, status);
    }

    private void abort(String reason) {
        client.abort();
        finish(reason, 0);
    }

    private void finish(String outcome, int status) {
        ended = true;
        body.release();
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (queued) {
            queued = false;
            context.waiting().remove(this);
        }
        long millis = now() - arrivedMillis;
        context.metrics().onEnd(outcome, millis);
        if (outcome.equals(ANSWERED)) {
            context.stop().onAnswered(route, millis);
        }
        LogFields line = logLine(outcome, status, millis);
        hedged.onEnded(line);
        context.log().logRequest(line);
    }

    private LogFields logLine(String outcome, int status, long millis) {
        LogFields line = LogFields.event("request ended")
                .field("request", request.id())
                .field("outcome", outcome)
                .field("status", status)
                .field("millis", millis)
                .field("firstByteMillis", firstByteMillis)
                .field("runs", possibleRuns)
                .field("rejections", rejections)
                .field("storeRevision", view.revision())
                .field("confirmationAgeMillis", context.confirmationAgeMillis());
        view.routes()
                .ifPresent(routes -> line.field(
                        "configurationVersion", routes.configuration().version()));
        if (route != null) {
            line.field("route", route.name()).field("service", service);
        }
        team.ifPresent(known -> line.field("team", known.name()));
        context.stop().leftMillis().ifPresent(leftMillis -> line.field("stopLeftMillis", leftMillis));
        forwarding.ifPresent(from -> line.field("forwarded", true));
        if (!triedNodes.isEmpty()) {
            line.field("passedTo", triedNodes);
        }
        if (lastChoice != null) {
            line.peer(lastChoice.server().address())
                    .field("server", lastChoice.server().id())
                    .field("softwareVersion", lastChoice.server().softwareVersion())
                    .field("rank", lastChoice.rank())
                    .field("holdsShared", lastChoice.holdsShared())
                    .field("storedTokens", lastChoice.storedTokens())
                    .field("expectedMillis", lastChoice.expectedMillis());
        }
        request.resumes().ifPresent(first -> line.field("resumes", first));
        framing.ifPresent(known -> line.field("framing", known)
                .field("lastEventId", splitter.lastEventId().orElse(""))
                .field("skippedIds", splitter.skippedIds()));
        request.prompt().ifPresent(prompt -> line.field("prompt", prompt.affinityKey())
                .field("promptTokens", prompt.promptTokens()));
        if (!lastFailure.isEmpty()) {
            line.field("lastFailure", lastFailure);
        }
        return line;
    }

    private Future<?> schedule(Runnable task, long delayMillis) {
        Runnable tracked = () -> {
            context.turns().onEvent();
            guarded(task);
        };
        return context.loop().schedule(tracked, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    private long now() {
        return context.clocks().nowMillis();
    }

    /** One send of the request to one upstream. */
    private final class Attempt extends RunningAttempt {
        private boolean promptRead;
        private boolean reportedSound;
        private boolean ownAnswer;
        private long progressMillis;
        private int rejectionBytes;
        private final HeldAnswer heldAnswer = new HeldAnswer(this, new ReportGate());
        private Future<?> reportTimer;
        private Runnable stopListening = () -> {};
        private long heldSinceMillis;
        private boolean endsAtClose;
        private boolean endedByClose;
        private AnswerAnomaly.Framing endFraming = AnswerAnomaly.Framing.UNKNOWN;

        Attempt(AttemptTarget target) {
            super(target, context.held().sending(target, body), context.held().newBody());
        }

        @Override
        void start() {
            target.onStarted();
            Optional<UpstreamConnection> idle = target.connections().takeIdle(target.address(), request.id());
            if (idle.isPresent()) {
                onConnection(idle.get(), null);
            } else {
                // Clients that leave while the connection opens are noticed before the request is sent.
                target.connections().open(target.address(), (opened, error) -> context.loop()
                        .execute(() -> onOpened(opened, error)));
            }
        }

        private void onOpened(UpstreamConnection opened, Throwable error) {
            context.turns().onEvent();
            guarded(() -> onConnection(opened, error));
        }

        private void onConnection(UpstreamConnection opened, Throwable error) {
            long leftMillis = deadlineMillis - now();
            if (settled || error == null && (leftMillis <= 0 || !client.isOpen())) {
                if (error == null) {
                    target.connections().release(opened);
                }
                return;
            }
            if (error != null) {
                onFailure(Failure.UNREACHABLE, String.valueOf(error.getMessage()));
                return;
            }
            Optional<String> heldBack = target.heldBack();
            if (heldBack.isPresent()) {
                // It became known while the connection was being opened.
                target.connections().release(opened);
                context.metrics().onKeptBack();
                onAttemptFailed(Outcome.ABANDONED, false, heldBack.get());
                return;
            }
            if (binding.goesOn() && target.upstream().isPresent() && !opened.isProcessVerified()) {
                verifyProcess(opened, target.upstream().get());
                return;
            }
            connection = opened;
            sent = true;
            sends++;
            sentMillis = now();
            progressMillis = sentMillis;
            Optional<String> resumeAfter = splitter.lastEventId().or(request::lastEventId);
            UpstreamListener listener = new GuardedListener(heldAnswer, Exchange.this::guarded);
            connection.send(request, target.encode(leftMillis, resumeAfter), requestBody, listener);
            checkTimer = schedule(this::checkSilence, SILENCE_CHECK_MILLIS);
            hedged.onSent(this);
            if (headSent) {
                binding.log("stream resumed", target);
            }
        }

        /** An engine that has started again under its identifier may have another version than it is registered with. */
        private void verifyProcess(UpstreamConnection opened, UpstreamServer server) {
            context.identityChecks().check(server, true, evidence -> guarded(() -> onVerified(opened, evidence)));
        }

        private void onVerified(UpstreamConnection opened, EndEvidence evidence) {
            if (evidence == EndEvidence.ALIVE && opened.isOpen()) {
                opened.onProcessVerified();
                onConnection(opened, null);
                return;
            }
            opened.close();
            if (!settled) {
                onAttemptFailed(
                        Outcome.ABANDONED,
                        false,
                        "upstream is not known to be the process that is registered: " + evidence);
            }
        }

        @Override
        boolean isSilent() {
            return sent && !client.isBackpressured() && !heldAnswer.isHolding() && target.isSilent();
        }

        private void checkSilence() {
            if (settled) {
                return;
            }
            if (!isEstablished(now()) && suspects.areRefused()) {
                // Ends it before the upstream begins to answer, which would crash it.
                endAttempt(Outcome.ABANDONED);
                possibleRuns++;
                giveUp(RefusalReasons.CRASHED_UPSTREAMS);
                return;
            }
            if (isEstablished(now()) && !reportedSound) {
                reportedSound = true;
                suspects.reportSound();
            }
            boolean silent = isSilent();
            // Without a retry and another upstream to move to, keep waiting: a sound one may be silent for a second.
            int runs = possibleRuns + 1;
            if ((silent || isStalled()) && mayMove(runs)) {
                // Close the connection first: this upstream must stop before another one starts.
                cancelConnection();
                move(
                        this,
                        silent ? Outcome.SILENT : Outcome.FAILED,
                        silent
                                ? "upstream silent: no bytes while an answer was due"
                                : "stream stalled: bytes but no event");
                return;
            }
            if (!promptRead && target.isTooOldToBegin() && mayMove(runs)) {
                cancelConnection();
                context.metrics().onTakenBack();
                move(this, Outcome.ABANDONED, "did not begin before the bound of a newer weight version");
                return;
            }
            checkTimer = schedule(this::checkSilence, SILENCE_CHECK_MILLIS);
        }

        private boolean mayMove(int runs) {
            return hedged.isRunning() || hasRetryLeft(runs) && canSendElsewhere() && takeRetry(runs);
        }

        private void onAttemptFailed(Outcome outcome, boolean mayHaveRun, String message) {
            Exchange.this.onAttemptFailed(this, outcome, mayHaveRun, message);
        }

        // An engine that has sent nothing yet may still be reading the prompt.
        private boolean isStalled() {
            return promptRead
                    && target.upstream().isPresent()
                    && !client.isBackpressured()
                    && !heldAnswer.isHolding()
                    && context.turns().lastReadMillis() - progressMillis >= STALL_LIMIT_MILLIS;
        }

        @Override
        public void onBytesReceived() {
            target.onBytesReceived();
        }

        @Override
        public void onHead(AnswerHead answer) {
            head = answer;
            target.onHead(answer, sentMillis);
            if (target.upstream().isEmpty() && !onForwardedHead(answer)) {
                return;
            }
            if (answer.notExecuted()) {
                // The rejection is read to its end, so that the connection stays usable.
                return;
            }
            if (answer.isSuccess() && (!answer.hasSignature() || answer.contentEncoded())) {
                cancelConnection();
                onAttemptFailed(Outcome.FAILED, true, "success answer without the upstream's signature, or encoded");
                return;
            }
            streaming = route.isStream() && answer.isSuccess();
            if (headSent && !answer.hasEvents()) {
                cancelConnection();
                onAttemptFailed(
                        Outcome.FAILED, true, "status " + answer.status() + " without events for a resumed stream");
            } else if (streaming) {
                startStream(answer);
            }
        }

        /**
         * Handles what another node says about its answer.
         *
         * @return true if the answer is an upstream's
         */
        private boolean onForwardedHead(AnswerHead answer) {
            if (answer.forwarded().isEmpty()) {
                cancelConnection();
                onAttemptFailed(Outcome.FAILED, true, "answer of another node without a statement about its origin");
                return false;
            }
            ForwardedAnswer about = answer.forwarded().get();
            if (about.kind() != ForwardedAnswer.Kind.UPSTREAM) {
                ownAnswer = true;
                return false;
            }
            // The run that this answer belongs to is counted when the attempt fails.
            possibleRuns = Math.max(possibleRuns, about.runs() - 1);
            return true;
        }

        /** Handles a refusal or an error that another node has generated itself. */
        private void onOwnAnswerOfNode() {
            ForwardedAnswer about = head.forwarded().get();
            if (about.kind() == ForwardedAnswer.Kind.UNABLE) {
                target.onRejected(head);
                // It has reached no upstream.
                sends--;
                onAttemptFailed(Outcome.REJECTED, false, "another node refused: " + about.reason());
                return;
            }
            context.log().logRequest(failureLine(this, Outcome.REJECTED, "another node answered: " + about.reason()));
            settle(Outcome.ANSWERED);
            attempt = null;
            possibleRuns = Math.max(possibleRuns, about.runs());
            boolean unserved = head.status() == HTTP_UNAVAILABLE || headSent;
            if (unserved) {
                giveUp(about.reason(), head.notice().pauseMillis().orElse(RETRY_AFTER_MILLIS));
            } else {
                fail(head.status(), about.reason());
            }
        }

        private ForwardedAnswer aboutAnswer() {
            return new ForwardedAnswer(ForwardedAnswer.Kind.UPSTREAM, possibleRuns + 1, target.softwareVersion(), "");
        }

        private void startStream(AnswerHead answer) {
            if (!headSent) {
                headSent = true;
                if (forwarding.isPresent()) {
                    // The head names the version, so that the stream may go on at no other one from here on.
                    binding.onBegun(target);
                }
                client.writeHead(
                        answer.status(),
                        answerHeaders.withAbout(answer.endToEndHeaders(), aboutAnswer()),
                        OptionalLong.empty());
                firstByteMillis = now() - arrivedMillis;
                context.metrics().onFirstByte(firstByteMillis);
            }
        }

        @Override
        public void onBody(ByteBuf bytes) {
            if (head.notExecuted() || ownAnswer) {
                rejectionBytes += bytes.readableBytes();
                if (rejectionBytes > MAX_REJECTION_BYTES) {
                    cancelConnection();
                    onUnservedEnd();
                }
                return;
            }
            if (streaming) {
                forward(bytes);
            } else if (bufferedBody.readableBytes() + bytes.readableBytes() <= MAX_BUFFERED_BYTES) {
                bufferedBody.append(bytes);
            } else {
                cancelConnection();
                onAttemptFailed(
                        Outcome.FAILED, true, "answer body longer than the buffer of " + MAX_BUFFERED_BYTES + " bytes");
            }
        }

        private void forward(ByteBuf bytes) {
            if (answerBeganMillis < 0) {
                answerBeganMillis = now();
            }
            promptRead = true;
            target.onPromptRead();
            byte[] received = ByteBufUtil.getBytes(bytes);
            byte[] completeEvents = splitter.append(received);
            if (splitter.hasCompletedEvent()) {
                progressMillis = now();
            }
            byte[] forwarded = route.resumable() ? completeEvents : received;
            if (splitter.isMalformed() && !route.resumable()) {
                forwarded = new byte[0];
            }
            if (forwarded.length > 0) {
                binding.onBegun(target);
                client.writeBody(Unpooled.wrappedBuffer(forwarded));
            }
            if (splitter.isMalformed()) {
                cancelConnection();
                onAttemptFailed(
                        Outcome.FAILED, true, "bytes that are no event, or an event that does not follow the last one");
                return;
            }
            if (splitter.isEventTooLong()) {
                cancelConnection();
                onAttemptFailed(
                        Outcome.FAILED, true, "event longer than " + EventSplitter.MAX_INCOMPLETE_BYTES + " bytes");
                return;
            }
            if (client.isBackpressured() && !endHeld) {
                connection.pauseReading(true);
            }
        }

        private void hold() {
            heldSinceMillis = now();
            stopListening = context.originReports().listen(() -> schedule(this::releaseIfReported, 0));
            reportTimer = schedule(this::onReportLate, MAX_REPORT_WAIT_MILLIS);
            // The acknowledgement may have come before the listener was added.
            schedule(this::releaseIfReported, 0);
        }

        private void releaseIfReported() {
            if (settled || !heldAnswer.isHolding() || !binding.isReported(target)) {
                return;
            }
            endHolding();
            context.metrics().onFirstEventHeld(now() - heldSinceMillis);
            heldAnswer.release();
        }

        private void onReportLate() {
            if (settled || !heldAnswer.isHolding()) {
                return;
            }
            context.metrics().onReportNotReplaced();
            failHeld("the metadata store has not acknowledged the report of the software version");
        }

        private void failHeld(String message) {
            cancelConnection();
            placement.keepToReportedVersion();
            onAttemptFailed(Outcome.ABANDONED, true, message);
        }

        private void endHolding() {
            stopListening.run();
            if (reportTimer != null) {
                reportTimer.cancel(false);
            }
        }

        @Override
        void settle(Outcome outcome) {
            endHolding();
            super.settle(outcome);
        }

        /** Holds the first bytes of a stream until no report of another software version is the newest one. */
        private final class ReportGate implements HeldAnswer.Gate {
            @Override
            public boolean holdsHead(AnswerHead answer) {
                // The head names the version to the node that has passed the request on.
                boolean showsVersion = forwarding.isPresent() && route.isStream() && answer.isSuccess();
                return showsVersion && holds();
            }

            @Override
            public boolean holdsBody() {
                return streaming && holds();
            }

            private boolean holds() {
                if (binding.mayBegin(target)) {
                    return false;
                }
                hold();
                return true;
            }

            @Override
            public void onBodyHeld() {
                answerBeganMillis = now();
                promptRead = true;
                target.onPromptRead();
            }

            @Override
            public void onAnswerEnded(boolean isHeld) {
                endsAtClose = connection.endsAtClose();
                endedByClose = connection.endedByClose();
                endFraming = connection.framing();
                if (isHeld && !endedByClose) {
                    onEndHeld();
                }
            }

            @Override
            public boolean isEnded() {
                return settled;
            }

            @Override
            public void onTooLong() {
                failHeld("more than " + HeldAnswer.MAX_BYTES + " bytes before the report was acknowledged");
            }
        }

        @Override
        public void onEnd() {
            if (head.notExecuted() || ownAnswer) {
                onUnservedEnd();
            } else if (endsAtClose && now() >= deadlineMillis) {
                // The upstream stops at this time limit too, so that its close need not be the answer's end.
                onDeadline();
            } else if (streaming && splitter.hasIncompleteEvent()) {
                onAttemptFailed(Outcome.BROKEN, true, "stream ended in the middle of an event");
            } else if (!streaming && connection.isAnswerWithin(bufferedBody)) {
                onAttemptFailed(Outcome.FAILED, true, "another answer within the body");
            } else if (endedByClose) {
                checkEnd();
            } else {
                onWholeAnswer();
            }
        }

        /** Holds the end of the answer until the upstream is known to be alive: a killed one closes in the same way. */
        private void checkEnd() {
            if (checkTimer != null) {
                checkTimer.cancel(false);
            }
            Optional<UpstreamServer> server = target.upstream();
            if (server.isEmpty()) {
                onAttemptFailed(Outcome.BROKEN, true, "answer of another node without a length or chunks");
                return;
            }
            endCheck = Optional.of(context.endChecks()
                    .check(
                            server.get(),
                            placement.targetsEngines(),
                            evidence -> guarded(() -> onEndChecked(evidence))));
        }

        private void onEndChecked(EndEvidence evidence) {
            if (settled) {
                return;
            }
            if (evidence == EndEvidence.ALIVE) {
                onWholeAnswer();
                return;
            }
            upstreamExited = target.upstream().filter(this::isLeaving).isPresent();
            if (!upstreamExited) {
                target.connections().onBroken(target.address());
            }
            onAttemptFailed(
                    Outcome.BROKEN, true, "connection closed, and the upstream is not known to be alive: " + evidence);
        }

        /** Returns whether an upstream is expected to exit, so that its end is no sign that a request crashed it. */
        private boolean isLeaving(UpstreamServer server) {
            UpstreamServer registered = context.view().get().servers().get(server.id());
            return registered == null
                    || registered.draining()
                    || context.notices().isLeaving(server.incarnation());
        }

        private void onWholeAnswer() {
            if (!streaming) {
                onBufferedAnswer();
                return;
            }
            context.metrics().onSkippedIds(splitter.skippedIds());
            framing = Optional.of(endFraming);
            settle(Outcome.ANSWERED);
            suspects.reportSound();
            client.end();
            finish(ANSWERED, head.status());
        }

        private void onUnservedEnd() {
            if (ownAnswer) {
                onOwnAnswerOfNode();
            } else {
                onRejected();
            }
        }

        private void onRejected() {
            target.onRejected(head);
            if (placement.targetsEngines()) {
                // Engines reject requests briefly while they load weights, so the same one may be tried again.
                target.upstream().ifPresent(server -> triedIncarnations.remove(server.incarnation()));
            }
            onAttemptFailed(Outcome.REJECTED, false, "status " + head.status());
        }

        private void onBufferedAnswer() {
            // The upstream speaks for its own run alone.
            boolean untrueRefusal = REFUSALS.contains(head.status()) && (possibleRuns > 0 || hedged.isSent());
            boolean failed = head.status() >= 500;
            boolean finalAnswer = target.upstream().isEmpty();
            if (untrueRefusal || failed && hedged.isRunning()) {
                onAttemptFailed(Outcome.FAILED, true, "status " + head.status());
                return;
            }
            if (failed && !finalAnswer && route.isRepeatable() && possibleRuns + 1 < route.maxAttempts()) {
                AnswerHead answered = head;
                byte[] content = ByteBufUtil.getBytes(bufferedBody);
                ForwardedAnswer about = aboutAnswer();
                settle(Outcome.FAILED);
                possibleRuns++;
                lastFailure = "status " + answered.status() + " at " + target.address();
                if (mayRetry()) {
                    attempt = null;
                    context.metrics().onFurtherAttempt();
                    submitStart();
                    return;
                }
                deliver(answered, Unpooled.wrappedBuffer(content), about);
                return;
            }
            ByteBuf content = bufferedBody.copy();
            ForwardedAnswer about = aboutAnswer();
            settle(failed ? Outcome.FAILED : Outcome.ANSWERED);
            if (!failed) {
                possibleRuns += hedged.onAnswered(this, attempt);
                suspects.reportSound();
            }
            deliver(head, content, about);
        }

        private void deliver(AnswerHead answer, ByteBuf content, ForwardedAnswer about) {
            firstByteMillis = now() - arrivedMillis;
            context.metrics().onFirstByte(firstByteMillis);
            client.writeHead(
                    answer.status(),
                    answerHeaders.withAbout(answer.endToEndHeaders(), about),
                    OptionalLong.of(content.readableBytes()));
            client.writeBody(content);
            client.end();
            finish(ANSWERED, answer.status());
        }

        @Override
        public void onFailure(Failure failure, String message) {
            if (settled) {
                return;
            }
            Outcome outcome =
                    switch (failure) {
                        case UNREACHABLE -> Outcome.UNREACHABLE;
                        case BROKEN -> Outcome.BROKEN;
                        case MALFORMED -> Outcome.FAILED;
                    };
            if (outcome == Outcome.BROKEN && target.breakIsFinal()) {
                possibleRuns = Math.max(possibleRuns, route.maxAttempts() - 1);
            }
            onAttemptFailed(outcome, failure != Failure.UNREACHABLE, message);
        }
    }
}
