package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;

import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.HedgePolicy;
import org.cowslipbank.decision.relay.UpstreamLoads.Outcome;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.RepeatRule;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.Forwarding;

/**
 * The second attempt (hedge) of a plain request whose answer is late: when it is sent, and what becomes of both attempts.
 * The first whole answer that is no server error wins, and the other connection is closed at once. An attempt that fails
 * leaves the request to the other one. A request is hedged once at most. Runs on the traffic thread.
 */
final class HedgedAttempts {
    /** Never sends a second attempt, and computes nothing. */
    static final HedgedAttempts NONE = new HedgedAttempts();

    /** Fewest attempts that a route must allow. */
    static final int MIN_ATTEMPTS = 2;

    /** Interval at which a late request looks for a free upstream; plain requests take about 70 ms. */
    static final long RECHECK_MILLIS = 50;

    /**
     * Longest time for which both attempts run. The platform's rules allow a request to go on elsewhere while the upstream
     * before works on it for 400 ms; a connection is closed within 100 ms.
     */
    static final long MAX_TOGETHER_MILLIS = 300;

    private final RelayContext context;
    private final Optional<HedgePolicy> policy;
    private final Request request;
    private final Steps steps;

    private RunningAttempt first;
    /** The hedge, also after its end; null before it is sent. */
    private RunningAttempt hedge;
    /** The hedge while it runs beside another attempt, else null. */
    private RunningAttempt beside;

    private long firstSentMillis = -1;
    private long delayMillis;
    private Future<?> timer;
    private boolean refusedByLimit;
    private boolean won;

    /**
     * What is asked, and where it may be sent.
     *
     * @param route the route
     * @param placement chooses the upstream
     * @param tried incarnations to which the request has been sent
     * @param suspects what of the request may crash an upstream
     */
    record Request(Route route, RequestPlacement placement, Set<String> tried, RequestSuspects suspects) {}

    /**
     * Steps of the exchange.
     *
     * @param mayRunBeside returns whether the number of attempts, the deadline and the client allow one beside the present
     * @param takeRetry takes a retry from the budget, or returns false if none is left
     * @param create creates an attempt at a chosen upstream, and records that the upstream is tried
     * @param drop ends one of two attempts that run, as one that may have run; the other one goes on
     * @param schedule runs a task after a delay in milliseconds
     */
    record Steps(
            BooleanSupplier mayRunBeside,
            BooleanSupplier takeRetry,
            Function<UpstreamSelector.Choice, ? extends RunningAttempt> create,
            Consumer<RunningAttempt> drop,
            BiFunction<Runnable, Long, Future<?>> schedule) {}

    private HedgedAttempts() {
        this(null, Optional.empty(), null, null);
    }

    private HedgedAttempts(RelayContext context, Optional<HedgePolicy> policy, Request request, Steps steps) {
        this.context = context;
        this.policy = policy;
        this.request = request;
        this.steps = steps;
    }

    /**
     * Returns the hedging of a request.
     *
     * @param context the node's shared state
     * @param forwarding what the node says that has passed the request on, which gets no hedge
     * @param request the request
     * @param steps steps of its exchange
     * @return {@link #NONE} unless the node hedges and the route's requests may run twice
     */
    static HedgedAttempts of(RelayContext context, Optional<Forwarding> forwarding, Request request, Steps steps) {
        Route route = request.route();
        boolean mayRunTwice = route.repeatRule() == RepeatRule.IDEMPOTENT && route.maxAttempts() >= MIN_ATTEMPTS;
        return context.hedging().isEmpty() || !mayRunTwice || forwarding.isPresent()
                ? NONE
                : new HedgedAttempts(context, context.hedging(), request, steps);
    }

    /**
     * Called when an attempt has been sent.
     *
     * @param attempt the attempt
     */
    void onSent(RunningAttempt attempt) {
        if (policy.isEmpty()) {
            return;
        }
        if (attempt == hedge) {
            context.metrics().onHedge();
            context.metrics().onFurtherAttempt();
            schedule(this::onTogether, MAX_TOGETHER_MILLIS);
            return;
        }
        firstSentMillis = firstSentMillis < 0 ? attempt.sentMillis : firstSentMillis;
        if (hedge != null || attempt.target.upstream().isEmpty()) {
            return;
        }
        first = attempt;
        delayMillis =
                policy.get().delayMillis(request.route().name(), request.route().latencyObjectiveMillis(), now());
        schedule(this::onLate, delayMillis);
    }

    private void schedule(Runnable task, long millis) {
        cancelTimer();
        timer = steps.schedule().apply(task, millis);
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void onLate() {
        if (first.settled || hedge != null) {
            return;
        }
        // An answer that arrived after the sockets were read last is not late; this node is.
        long leftMillis = first.sentMillis + delayMillis - context.turns().lastReadMillis();
        if (leftMillis > 0) {
            schedule(this::onLate, leftMillis);
        } else if (!trySend()) {
            schedule(this::onLate, RECHECK_MILLIS);
        }
    }

    /** Ends the attempt that was sent first, unless the head of a good answer has come from it. */
    private void onTogether() {
        if (beside != null) {
            boolean firstAnswers = first.head != null && first.head.isSuccess();
            steps.drop().accept(firstAnswers ? beside : first);
        }
    }

    private boolean trySend() {
        if (!isAllowed()) {
            return false;
        }
        Optional<UpstreamSelector.Choice> choice =
                request.placement().chooseAmong(context.view().get(), request.tried(), this::isFree);
        if (choice.isEmpty() || !isWithinLimit() || !steps.takeRetry().getAsBoolean()) {
            return false;
        }
        policy.get().onHedged(request.placement().service());
        hedge = steps.create().apply(choice.get());
        beside = hedge;
        hedge.start();
        return true;
    }

    /** Returns whether a hedge may be sent at all. A rejected attempt is followed by another one anyway. */
    private boolean isAllowed() {
        boolean rejected = first.head != null && first.head.notExecuted();
        return !rejected
                && steps.mayRunBeside().getAsBoolean()
                && context.stop().leftMillis().isEmpty()
                && !context.reachability().isCutOff()
                && !request.suspects().areSuspected();
    }

    private boolean isWithinLimit() {
        boolean within = policy.get().isWithinLimit(request.placement().service());
        if (!within && !refusedByLimit) {
            refusedByLimit = true;
            context.metrics().onHedgeRefused();
        }
        return within;
    }

    /** Returns whether an upstream that takes new requests has room for a hedge; one in need is left to first attempts. */
    private boolean isFree(UpstreamServer server) {
        return !context.notices().isLimited(server.incarnation(), now())
                && !context.notices().brittle().isBrittle(server.incarnation(), now())
                && HedgePolicy.isFree(occupancy(first.target.upstream().get()), occupancy(server), delayMillis);
    }

    // Digests are older than a plain request takes, but without them every other upstream would look idle.
    private HedgePolicy.Occupancy occupancy(UpstreamServer server) {
        FleetLoads.Load load = context.loads()
                .inFlight(server.incarnation())
                .plus(context.fleetLoads().loadAt(server.id()));
        long silentMillis = context.loads()
                .silenceMillis(server.incarnation(), context.turns().lastReadMillis());
        return new HedgePolicy.Occupancy(load.requests(), server.slots(), silentMillis);
    }

    /**
     * Returns whether two attempts run.
     *
     * @return false before the hedge, and once one of the two has ended
     */
    boolean isRunning() {
        return beside != null;
    }

    /**
     * Returns whether a hedge that still runs has been sent, so that it may have run.
     *
     * @return false while its connection is being opened
     */
    boolean isSent() {
        return beside != null && beside.sent;
    }

    /**
     * Called when an attempt has failed.
     *
     * @param failed the attempt
     * @param present the exchange's present attempt
     * @return the attempt that goes on, null if none does
     */
    RunningAttempt onFailed(RunningAttempt failed, RunningAttempt present) {
        if (beside == null) {
            return null;
        }
        RunningAttempt other = failed == beside ? present : beside;
        beside = null;
        return other;
    }

    /**
     * Called with a whole answer that is no server error; closes the other attempt's connection.
     *
     * @param winner the attempt that brought it
     * @param present the exchange's present attempt
     * @return the number of other runs that were ended, zero or one
     */
    int onAnswered(RunningAttempt winner, RunningAttempt present) {
        if (policy.isEmpty()) {
            return 0;
        }
        policy.get().onAnswered(request.route().name(), now() - firstSentMillis, now());
        won = winner == hedge;
        RunningAttempt other = onFailed(winner, present);
        return other == null ? 0 : end(other);
    }

    /**
     * Ends the hedge if it still runs beside another attempt, because the client or the deadline ends the request.
     *
     * @return the number of runs that were ended, zero or one
     */
    int cancel() {
        if (beside == null) {
            return 0;
        }
        RunningAttempt ended = beside;
        beside = null;
        return end(ended);
    }

    private static int end(RunningAttempt ended) {
        ended.cancel(ended.isSilent() ? Outcome.SILENT : Outcome.ABANDONED);
        return ended.sent ? 1 : 0;
    }

    /**
     * Called at the end of the exchange.
     *
     * @param line the line about the request, to which the hedge is added
     */
    void onEnded(LogFields line) {
        cancelTimer();
        if (hedge == null) {
            return;
        }
        if (hedge.sent) {
            context.metrics().onHedgeEnded(won);
        }
        line.field("hedgeTo", hedge.target.address())
                .field("hedgeAfterMillis", hedge.sent ? hedge.sentMillis - firstSentMillis : -1)
                .field("hedgeWon", won);
    }

    private long now() {
        return context.clocks().nowMillis();
    }
}
