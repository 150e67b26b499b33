package org.cowslipbank.entry.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import org.cowslipbank.decision.relay.EventSplitter;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.decision.relay.UpstreamChoice;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.UpstreamLoads.Outcome;
import org.cowslipbank.decision.relay.WaitingLine;
import org.cowslipbank.decision.retry.RetryQuestion;
import org.cowslipbank.decision.retry.RetryVerdict;
import org.cowslipbank.decision.suspects.Fingerprint;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.model.relay.RelayService;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.AnswerHead;
import org.cowslipbank.ports.relay.RelayRequest;
import org.cowslipbank.ports.relay.SendPlan;

/**
 * One request of a client from its arrival to the end of its answer. Runs on the traffic thread.
 *
 * <p>An answer that is not a stream is held until it is complete, so that a broken one can still become another attempt
 * or an honest error. Of a stream that may be resumed, whole events are passed on.
 */
final class Exchange {
    /** How often a waiting exchange looks whether its upstream has fallen silent. */
    static final long CHECK_MILLIS = 100;

    /** Time that a stream usually takes from its sending to its first event: a long prompt is read in 200 ms. */
    static final long STREAM_BEGIN_MILLIS = 250;

    /** Time that a plain request usually takes at its upstream. */
    static final long PLAIN_MILLIS = 40;

    /** Clients abandon a stream without a first event after two seconds or more, stated by the platform. */
    static final long STREAM_PATIENCE_MILLIS = 2_000;

    /** Objectives after which clients abandon a stream without a first event, if that is longer. */
    static final long STREAM_PATIENCE_OBJECTIVES = 4;

    /** Objectives for which a plain request waits for an upstream; then the client does better to come back. */
    static final long PLAIN_PATIENCE_OBJECTIVES = 2;

    /** How long a broken stream waits for another upstream; clients abandon it after two seconds without an event. */
    static final long RESUME_MILLIS = 1_500;

    /** How long a request waits for the first configuration of a node that has just started. */
    static final long START_HOLD_MILLIS = 700;

    /** How long a request waits for a confirmation while the node reaches the metadata store. */
    static final long WAKE_HOLD_MILLIS = 250;

    private static final long HOLD_STEP_MILLIS = 15;

    /** Further sends after upstreams stated that they did not run the request. */
    static final int MAX_REJECTED_SENDS = 6;

    /** When a client may come back after a refusal: upstreams that load weights or restart are back by then. */
    static final long RETRY_AFTER_MILLIS = 300;

    /** When a client may come back to another node if this one lost the metadata store. */
    static final long ELSEWHERE_AFTER_MILLIS = 50;

    /** Largest body of a plain answer that is held until it is complete. */
    static final int MAX_HELD_BYTES = 256 * 1024;

    /** Upstreams that one request may have crashed before it is refused everywhere; stated by the platform's rules. */
    static final int MAX_CRASHES = 3;

    private final RelayContext context;
    private final ClientAnswer client;
    private final RelayRequest request;
    private final ByteBuf body;
    private final long arrivedMillis;
    private final Set<String> tried = new HashSet<>();
    private final EventSplitter splitter = new EventSplitter();

    private PlatformView view;
    private Route route;
    private Optional<RelayTeam> team = Optional.empty();
    private String service = "";
    private RequestPlacement placement;
    private long deadlineMillis;
    private long firstByteMillis = -1;
    private Future<?> deadlineTimer;
    private boolean waiting;
    private Attempt attempt;
    private int runs;
    private int rejections;
    private boolean headSent;
    private boolean ended;
    private String lastFailure = "";
    private UpstreamChoice.Choice lastChoice;

    Exchange(RelayContext context, ClientAnswer client, RelayRequest request, ByteBuf body, long arrivedMillis) {
        this.context = context;
        this.client = client;
        this.request = request;
        this.body = body;
        this.arrivedMillis = arrivedMillis;
    }

    /** Begins the exchange; the answer may be given before this returns. */
    void begin() {
        context.metrics().onRequest();
        resolve();
    }

    private void resolve() {
        if (ended) {
            return;
        }
        view = context.view().get();
        if (view.routes().isEmpty()) {
            holdOrRefuse("no_configuration", START_HOLD_MILLIS);
            return;
        }
        RouteTable routes = view.routes().get();
        Optional<Route> found = routes.route(request.host(), request.path());
        if (found.isEmpty()) {
            fail(404, "no_route");
            return;
        }
        route = found.get();
        if (!authenticate(routes)) {
            return;
        }
        if (request.id().isEmpty()) {
            fail(400, "no_request_id");
            return;
        }
        Optional<String> chosen = RouteTable.serviceOf(route, RequestPlacement.affinityKey(request));
        if (chosen.isEmpty()) {
            refuse("no_service", RETRY_AFTER_MILLIS);
            return;
        }
        service = chosen.get();
        placement = new RequestPlacement(
                context,
                request,
                new RequestPlacement.Target(service, routes.service(service).flatMap(RelayService::engine), team),
                server -> context.waiting().booked(this, server));
        if (crashesUpstreams()) {
            refuse("crashed_upstreams", 0);
            return;
        }
        long waitMillis = Math.min(request.timeoutMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        deadlineMillis = arrivedMillis + waitMillis;
        deadlineTimer = schedule(this::onDeadline, deadlineMillis - now());
        context.retries().onRequest(service, now());
        tryNext();
    }

    private boolean authenticate(RouteTable routes) {
        if (route.anonymous() || !routes.hasTeams()) {
            return true;
        }
        if (!context.isConfirmed()) {
            // A key that was revoked meanwhile could not be told from a valid one. A VM that was suspended has its
            // confirmation within milliseconds; one that lost the store does not know when.
            holdOrRefuse("configuration_unconfirmed", context.reachesStore().getAsBoolean() ? WAKE_HOLD_MILLIS : 0);
            return false;
        }
        team = request.bearerKey().flatMap(routes::team);
        if (team.isEmpty()) {
            fail(401, "unknown_key");
            return false;
        }
        return true;
    }

    private void holdOrRefuse(String reason, long holdMillis) {
        if (now() - arrivedMillis < holdMillis) {
            deadlineTimer = schedule(this::resolve, HOLD_STEP_MILLIS);
        } else {
            refuse(reason, ELSEWHERE_AFTER_MILLIS);
        }
    }

    private boolean crashesUpstreams() {
        if (view.crashes().isEmpty()) {
            return false;
        }
        return view.crashes().getOrDefault(fingerprint(), Set.of()).size() >= MAX_CRASHES;
    }

    private String fingerprint() {
        TeamId caller = new TeamId(team.map(RelayTeam::name).orElse("anonymous"));
        return Long.toHexString(Fingerprint.of(caller, request.path(), ByteBufUtil.getBytes(body), 0));
    }

    private void tryNext() {
        if (!ended && !tryStart()) {
            waiting = true;
            context.waiting().add(this, waitingTimes());
        }
    }

    /**
     * Tries a waiting exchange again.
     *
     * @param over true if it has waited for as long as it may
     * @return true if it no longer waits
     */
    boolean tryWaiting(boolean over) {
        if (ended || tryStart()) {
            waiting = false;
            return true;
        }
        if (over) {
            waiting = false;
            giveUp("no_room");
        }
        return over;
    }

    private boolean tryStart() {
        view = context.view().get();
        Optional<UpstreamChoice.Choice> choice = choose();
        if (choice.isEmpty()) {
            return false;
        }
        lastChoice = choice.get();
        attempt = new Attempt(lastChoice);
        attempt.start();
        return true;
    }

    private WaitingLine.Times waitingTimes() {
        long nowMillis = now();
        if (headSent) {
            return new WaitingLine.Times(arrivedMillis, nowMillis, Math.min(deadlineMillis, nowMillis + RESUME_MILLIS));
        }
        long served = route.isStream() ? STREAM_BEGIN_MILLIS : PLAIN_MILLIS;
        long patience = route.isStream()
                ? Math.max(STREAM_PATIENCE_MILLIS, STREAM_PATIENCE_OBJECTIVES * route.objectiveMillis())
                : PLAIN_PATIENCE_OBJECTIVES * route.objectiveMillis();
        return new WaitingLine.Times(
                arrivedMillis,
                arrivedMillis + route.objectiveMillis() - served,
                Math.min(deadlineMillis - served, arrivedMillis + patience - served));
    }

    private Optional<UpstreamChoice.Choice> choose() {
        return placement.choose(view, tried);
    }

    /**
     * Returns the engine at which room is kept for this waiting exchange.
     *
     * @return the engine, or empty if none should be
     */
    Optional<UpstreamServer> booking() {
        return placement.booking(view, tried);
    }

    /**
     * Returns the length of the prompt.
     *
     * @return tokens, zero without a prompt
     */
    int promptTokens() {
        return request.prompt().map(PromptShape::promptTokens).orElse(0);
    }

    /** Ends an exchange for which no further attempt is made. */
    private void giveUp(String reason) {
        if (headSent) {
            abort(reason);
        } else if (runs > 0) {
            fail(502, reason);
        } else {
            refuse(reason, RETRY_AFTER_MILLIS);
        }
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        boolean mayHaveRun = runs > 0 || attempt != null && attempt.sent;
        endAttempt(attempt != null && attempt.isSilent() ? Outcome.SILENT : Outcome.ABANDONED);
        if (headSent) {
            abort("timeout");
        } else if (mayHaveRun) {
            fail(504, "timeout");
        } else {
            refuse("timeout", 0);
        }
    }

    /** The client has closed its connection. */
    void onClientGone() {
        if (ended) {
            return;
        }
        endAttempt(Outcome.ABANDONED);
        context.metrics().onClientGone();
        finish("client_gone", 0);
    }

    /** The client reads again, or has fallen behind. */
    void onClientPace() {
        if (attempt != null && attempt.connection != null) {
            attempt.connection.pauseReading(client.isBehind());
        }
    }

    private void endAttempt(Outcome outcome) {
        if (attempt != null) {
            attempt.cancel(outcome);
            attempt = null;
        }
    }

    private void onAttemptFailed(Outcome outcome, boolean mayHaveRun, String message) {
        UpstreamServer server = attempt.server;
        lastFailure = outcome + " at " + server.address() + ": " + message;
        attempt.settle(outcome);
        attempt = null;
        if (mayHaveRun) {
            runs++;
        } else {
            rejections++;
        }
        if (outcome == Outcome.BROKEN && placement.isAtEngines()) {
            context.crashes().accept(fingerprint(), server.incarnation());
        }
        splitter.discardRest();
        if (mayRetry()) {
            context.metrics().onFurtherAttempt();
            if (headSent) {
                context.metrics().onResume();
            }
            tryNext();
        } else {
            giveUp("attempts_failed");
        }
    }

    private boolean mayRetry() {
        boolean resumes = !headSent || route.isStream() && route.resumable();
        boolean attemptsLeft = runs < route.maxAttempts() && rejections <= MAX_REJECTED_SENDS;
        if (!resumes || !attemptsLeft || now() >= deadlineMillis || runs > 0 && !route.isRepeatable()) {
            return false;
        }
        RetryQuestion question = new RetryQuestion(
                2, runs > 0 ? RunState.UNKNOWN : RunState.NOT_RUN, route.isRepeatable(), headSent, false);
        RetryVerdict verdict =
                context.retries().decide(service, question, view.nodes().size(), now());
        return verdict == RetryVerdict.ALLOWED;
    }

    private void refuse(String reason, long retryAfterMillis) {
        answer(503, reason, retryAfterMillis);
    }

    private void fail(int status, String reason) {
        answer(status, reason, 0);
    }

    private void answer(int status, String reason, long retryAfterMillis) {
        client.head(status, context.wire().encodeRefusal(request.id(), retryAfterMillis), OptionalLong.of(0));
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
        if (waiting) {
            waiting = false;
            context.waiting().remove(this);
        }
        long millis = now() - arrivedMillis;
        context.metrics().onEnd(outcome, millis);
        context.log().request(describe(outcome, status, millis));
    }

    private LogFields describe(String outcome, int status, long millis) {
        LogFields line = LogFields.event("request ended")
                .field("request", request.id())
                .field("outcome", outcome)
                .field("status", status)
                .field("millis", millis)
                .field("firstByteMillis", firstByteMillis)
                .field("runs", runs)
                .field("rejections", rejections)
                .field("storeRevision", view.revision())
                .field("confirmationAgeMillis", context.confirmationAgeMillis());
        if (route != null) {
            line.field("route", route.name()).field("service", service);
        }
        team.ifPresent(known -> line.field("team", known.name()));
        if (lastChoice != null) {
            line.peer(lastChoice.server().address())
                    .field("server", lastChoice.server().id())
                    .field("rank", lastChoice.rank())
                    .field("storedTokens", lastChoice.storedTokens())
                    .field("expectedMillis", lastChoice.expectedMillis());
        }
        request.prompt().ifPresent(prompt -> line.field("prompt", prompt.affinityKey())
                .field("promptTokens", prompt.promptTokens()));
        if (!lastFailure.isEmpty()) {
            line.field("lastFailure", lastFailure);
        }
        return line;
    }

    private Future<?> schedule(Runnable task, long delayMillis) {
        return context.loop().schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    private long now() {
        return context.clocks().nowMillis();
    }

    /** The request at one upstream. */
    private final class Attempt implements UpstreamListener {
        private final UpstreamServer server;
        private final int unreadTokens;
        private final CompositeByteBuf held = Unpooled.compositeBuffer();
        private final int tokens = promptTokens();
        private UpstreamConnection connection;
        private AnswerHead head;
        private OptionalLong expectedVersion = OptionalLong.empty();
        private boolean sent;
        private boolean settled;
        private boolean streaming;
        private Future<?> checkTimer;

        private boolean read;

        Attempt(UpstreamChoice.Choice choice) {
            this.server = choice.server();
            this.unreadTokens = choice.unreadTokens();
        }

        void start() {
            tried.add(server.incarnation());
            long silenceMillis = placement.isAtEngines()
                    ? UpstreamLoads.SILENCE_MILLIS
                    : UpstreamLoads.plainSilenceMillis(route.objectiveMillis());
            context.loads().onSent(server.incarnation(), tokens, unreadTokens, silenceMillis, now());
            context.connections().take(server.address(), this::onConnection);
        }

        private void onConnection(UpstreamConnection opened, Throwable error) {
            if (settled) {
                if (error == null) {
                    opened.close();
                }
                return;
            }
            if (error != null) {
                onFailure(Failure.UNREACHABLE, String.valueOf(error.getMessage()));
                return;
            }
            long leftMillis = deadlineMillis - now();
            if (leftMillis <= 0) {
                opened.close();
                return;
            }
            connection = opened;
            sent = true;
            connection.send(
                    request, context.wire().encodeRequest(request, plan(leftMillis)), body.retainedDuplicate(), this);
            checkTimer = schedule(this::check, CHECK_MILLIS);
        }

        private SendPlan plan(long leftMillis) {
            expectedVersion = placement.versionOf(server);
            Optional<String> resumeAfter = splitter.lastEventId().or(request::lastEventId);
            return placement.plan(view, server, leftMillis, route.priority(), resumeAfter);
        }

        boolean isSilent() {
            return sent && context.loads().isSilent(server.incarnation(), now());
        }

        private void check() {
            if (settled) {
                return;
            }
            boolean movable = route.isRepeatable() && (!headSent || route.resumable());
            // Without another upstream the silent one is still the best hope.
            if (movable && isSilent() && runs + 1 < route.maxAttempts() && choose().isPresent()) {
                // The upstream must have stopped before another one starts: its connection is closed first.
                connection.cancel();
                onAttemptFailed(Outcome.SILENT, true, "no bytes while an answer was awaited");
                return;
            }
            checkTimer = schedule(this::check, CHECK_MILLIS);
        }

        void cancel(Outcome outcome) {
            if (settled) {
                return;
            }
            if (connection != null) {
                connection.cancel();
            }
            settle(outcome);
        }

        void settle(Outcome outcome) {
            if (settled) {
                return;
            }
            settled = true;
            if (checkTimer != null) {
                checkTimer.cancel(false);
            }
            held.release();
            noteRead();
            context.loads().onEnded(server.incarnation(), tokens, outcome, now());
        }

        @Override
        public void onHeard() {
            context.loads().onHeard(server.incarnation(), now());
        }

        @Override
        public void onHead(AnswerHead answer) {
            head = answer;
            answer.weightVersion().ifPresent(version -> context.loads().onVersion(server.incarnation(), version));
            if (answer.notExecuted()) {
                // The rest of the rejection is of no interest, but leaves the connection usable.
                return;
            }
            if (answer.isSuccess() && (!answer.signed() || answer.encoded())) {
                connection.cancel();
                onAttemptFailed(Outcome.FAILED, true, "a success without the upstream's own body");
                return;
            }
            streaming = route.isStream() && answer.isSuccess();
            if (streaming) {
                beginStream(answer);
            } else if (headSent) {
                connection.cancel();
                onAttemptFailed(Outcome.FAILED, true, "status " + answer.status() + " to a resumed stream");
            }
        }

        private void beginStream(AnswerHead answer) {
            if (!headSent) {
                headSent = true;
                client.head(answer.status(), answer.endToEnd(), OptionalLong.empty());
                firstByteMillis = now() - arrivedMillis;
                context.metrics().onFirstByte(firstByteMillis);
            }
        }

        @Override
        public void onBody(ByteBuf bytes) {
            if (head.notExecuted()) {
                return;
            }
            if (streaming) {
                pass(bytes);
            } else if (held.readableBytes() + bytes.readableBytes() <= MAX_HELD_BYTES) {
                held.addComponent(true, bytes.retain());
            } else {
                connection.cancel();
                onAttemptFailed(Outcome.FAILED, true, "answer longer than " + MAX_HELD_BYTES + " bytes");
            }
        }

        private void noteRead() {
            if (!read) {
                read = true;
                context.loads().onRead(server.incarnation(), unreadTokens);
            }
        }

        private void pass(ByteBuf bytes) {
            noteRead();
            if (!route.resumable()) {
                client.body(bytes.retain());
            } else {
                byte[] whole = splitter.take(ByteBufUtil.getBytes(bytes));
                if (whole.length > 0) {
                    client.body(Unpooled.wrappedBuffer(whole));
                }
            }
            if (client.isBehind()) {
                connection.pauseReading(true);
            }
        }

        @Override
        public void onEnd() {
            if (head.notExecuted()) {
                onRejected();
            } else if (streaming && splitter.hasRest()) {
                onAttemptFailed(Outcome.BROKEN, true, "the stream ended within an event");
            } else if (streaming) {
                settle(Outcome.ANSWERED);
                client.end();
                finish("answered", head.status());
            } else {
                onPlainAnswer();
            }
        }

        private void onRejected() {
            boolean sameServer = head.serverId().isEmpty() || head.serverId().equals(server.id());
            if (head.status() == 421 && sameServer && expectedVersion.isPresent()) {
                noteOtherVersion();
            }
            if (placement.isAtEngines()) {
                // It pauses for a moment and may be tried again: an engine rejects while it loads weights.
                tried.remove(server.incarnation());
            }
            onAttemptFailed(Outcome.REJECTED, false, "status " + head.status());
        }

        // The engine loaded other weights than known here; its registration follows within a second.
        private void noteOtherVersion() {
            if (head.weightVersion().isPresent()) {
                return;
            }
            placement
                    .namedVersion(view)
                    .filter(named -> named.version() != expectedVersion.getAsLong())
                    .ifPresent(named -> context.loads().onVersion(server.incarnation(), named.version()));
        }

        private void onPlainAnswer() {
            boolean failed = head.status() >= 500;
            if (failed && route.isRepeatable() && runs + 1 < route.maxAttempts()) {
                AnswerHead answered = head;
                byte[] content = ByteBufUtil.getBytes(held);
                settle(Outcome.FAILED);
                runs++;
                lastFailure = "status " + answered.status() + " at " + server.address();
                if (mayRetry()) {
                    attempt = null;
                    context.metrics().onFurtherAttempt();
                    tryNext();
                    return;
                }
                deliver(answered, Unpooled.wrappedBuffer(content));
                return;
            }
            ByteBuf content = held.copy();
            settle(failed ? Outcome.FAILED : Outcome.ANSWERED);
            deliver(head, content);
        }

        private void deliver(AnswerHead answer, ByteBuf content) {
            firstByteMillis = now() - arrivedMillis;
            context.metrics().onFirstByte(firstByteMillis);
            client.head(answer.status(), answer.endToEnd(), OptionalLong.of(content.readableBytes()));
            client.body(content);
            client.end();
            finish("answered", answer.status());
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
            onAttemptFailed(outcome, failure != Failure.UNREACHABLE, message);
        }
    }
}
