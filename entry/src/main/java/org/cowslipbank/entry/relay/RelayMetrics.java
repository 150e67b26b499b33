package org.cowslipbank.entry.relay;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.cowslipbank.decision.relay.UpstreamSelector;

/** Counters and timers of relayed requests, and of parts in cache stores, registered under
 * {@code relay.*} and {@code cache.*}. */
final class RelayMetrics {
    private final MetricRegistry registry;
    private final Counter requests;
    private final Counter furtherAttempts;
    private final Counter resumes;
    private final Counter clientsGone;
    private final Counter keptBack;
    private final Counter backlogRefusals;
    private final Counter takenBack;
    private final Counter unexpectedErrors;
    private final Counter connectionsExpired;
    private final Counter heldRejected;
    private final Counter heldClosed;
    private final Counter cutOffs;
    private final Counter forwarded;
    private final Counter servedForOthers;
    private final Counter hedges;
    private final Counter hedgesWon;
    private final Counter hedgesLost;
    private final Counter hedgesRefused;
    private final Counter secondAnswers;
    private final Counter strayBytes;
    private final Counter answersBrokenOff;
    private final Counter malformedAnswers;
    private final Counter skippedIds;
    private final Counter answerEndCalls;
    private final Counter answerEndsProved;
    private final Counter answerEndsUnproved;
    private final Counter identityCalls;
    private final Counter identitiesProved;
    private final Counter identitiesUnproved;
    private final Counter fetches;
    private final Counter engineFetches;
    private final Counter sharedTokensMissing;
    private final Counter placedAtHolder;
    private final Counter homeLacksPart;
    private final Counter partsFreed;
    private final Counter freesFailed;
    private final Counter firstEventsHeld;
    private final Counter reportsNotReplaced;
    private final Timer firstEventHeld;
    private final Timer firstByte;
    private final Timer duration;

    RelayMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.requests = registry.counter("relay.requests");
        this.furtherAttempts = registry.counter("relay.furtherAttempts");
        this.resumes = registry.counter("relay.resumes");
        this.clientsGone = registry.counter("relay.clientsGone");
        this.keptBack = registry.counter("relay.keptBack");
        this.backlogRefusals = registry.counter("relay.backlogRefusals");
        this.takenBack = registry.counter("relay.takenBack");
        this.unexpectedErrors = registry.counter("relay.unexpectedErrors");
        this.connectionsExpired = registry.counter("relay.clientConnectionsExpired");
        this.heldRejected = registry.counter("relay.held.rejected");
        this.heldClosed = registry.counter("relay.held.closed");
        this.cutOffs = registry.counter("relay.cutOffs");
        this.forwarded = registry.counter("relay.forwarded");
        this.servedForOthers = registry.counter("relay.servedForOthers");
        this.hedges = registry.counter("relay.hedges");
        this.hedgesWon = registry.counter("relay.hedgesWon");
        this.hedgesLost = registry.counter("relay.hedgesLost");
        this.hedgesRefused = registry.counter("relay.hedgesRefused");
        this.secondAnswers = registry.counter("relay.secondAnswers");
        this.strayBytes = registry.counter("relay.strayBytes");
        this.answersBrokenOff = registry.counter("relay.answersBrokenOff");
        this.malformedAnswers = registry.counter("relay.malformedAnswers");
        this.skippedIds = registry.counter("relay.skippedEventIds");
        this.answerEndCalls = registry.counter("relay.answerEndCalls");
        this.answerEndsProved = registry.counter("relay.answerEndsProved");
        this.answerEndsUnproved = registry.counter("relay.answerEndsUnproved");
        this.identityCalls = registry.counter("relay.identityCalls");
        this.identitiesProved = registry.counter("relay.identitiesProved");
        this.identitiesUnproved = registry.counter("relay.identitiesUnproved");
        this.fetches = registry.counter("cache.fetches");
        this.engineFetches = registry.counter("cache.engineFetches");
        this.sharedTokensMissing = registry.counter("cache.sharedTokensMissing");
        this.placedAtHolder = registry.counter("cache.placedAtHolder");
        this.homeLacksPart = registry.counter("cache.homeLacksPart");
        this.partsFreed = registry.counter("cache.partsFreed");
        this.freesFailed = registry.counter("cache.freesFailed");
        this.firstEventsHeld = registry.counter("relay.firstEventsHeld");
        this.reportsNotReplaced = registry.counter("relay.reportsNotReplaced");
        this.firstEventHeld = registry.timer("relay.firstEventHeldMillis");
        this.firstByte = registry.timer("relay.firstByteMillis");
        this.duration = registry.timer("relay.wholeMillis");
    }

    /** Counts numbers that the identifiers of a stream's events left out. */
    void onSkippedIds(long count) {
        skippedIds.inc(count);
    }

    void onRequest() {
        requests.inc();
    }

    void onFurtherAttempt() {
        furtherAttempts.inc();
    }

    void onResume() {
        resumes.inc();
    }

    void onClientGone() {
        clientsGone.inc();
    }

    /** Counts a request that was not sent to an upstream that leaves or wants a pause. */
    void onKeptBack() {
        keptBack.inc();
    }

    /** Counts a new request that is refused because its service's backlog leaves no time for it. */
    void onBacklogRefusal() {
        backlogRefusals.inc();
    }

    /** Counts a request that is taken back from an engine with old weights before it has begun. */
    void onTakenBack() {
        takenBack.inc();
    }

    /** Counts an unexpected error in a step of a request. */
    void onUnexpectedError() {
        unexpectedErrors.inc();
    }

    /** Counts a client's connection that is closed because it was idle or incomplete for too long. */
    void onConnectionExpired() {
        connectionsExpired.inc();
    }

    /** Counts a request that is refused because its body does not fit into the node's memory. */
    void onHeldRejected() {
        heldRejected.inc();
    }

    /** Counts a client's connection that is closed because the node needs the memory of what the client does not read. */
    void onHeldClosed() {
        heldClosed.inc();
    }

    /** Counts the times at which the node found itself cut off from the upstreams. */
    void onCutOff() {
        cutOffs.inc();
    }

    /** Counts an attempt that is passed to another node. */
    void onForwarded() {
        forwarded.inc();
    }

    /** Counts a request that another node has passed to this one. */
    void onServedForOther() {
        servedForOthers.inc();
    }

    /** Counts a late request that is sent to a second upstream as well. */
    void onHedge() {
        hedges.inc();
    }

    /** Counts the end of such a request, by whether the second upstream answered it. */
    void onHedgeEnded(boolean won) {
        (won ? hedgesWon : hedgesLost).inc();
    }

    /** Counts a late request that was not sent again because of the operators' limit. */
    void onHedgeRefused() {
        hedgesRefused.inc();
    }

    /** Counts something unusual that was received in place of an answer, or within one. */
    void onAnswerAnomaly(AnswerAnomaly.Kind kind) {
        Counter counter =
                switch (kind) {
                    case SECOND_ANSWER -> secondAnswers;
                    case STRAY_BYTES -> strayBytes;
                    case BROKEN_OFF -> answersBrokenOff;
                    case MALFORMED_HEAD -> malformedAnswers;
                };
        counter.inc();
    }

    /** Counts a call that asks whether an upstream outlived the close of its connection. */
    void onAnswerEndCall() {
        answerEndCalls.inc();
    }

    /** Counts answers whose end was the close of their connection, by whether their upstream was alive after it. */
    void onAnswerEndsChecked(int answers, boolean alive) {
        (alive ? answerEndsProved : answerEndsUnproved).inc(answers);
    }

    /** Counts a call that asks whether an engine at which a stream is to go on is the process that is registered. */
    void onIdentityCall() {
        identityCalls.inc();
    }

    /** Counts attempts to go on with a stream, by whether the engine proved to be the process that is registered. */
    void onIdentitiesChecked(int attempts, boolean alive) {
        (alive ? identitiesProved : identitiesUnproved).inc(attempts);
    }

    /** Counts a send for which the engine fetches parts, and whether it fetches some from another engine. */
    void onFetch(boolean fromEngine) {
        fetches.inc();
        if (fromEngine) {
            engineFetches.inc();
        }
    }

    /** Counts a prompt placed at an engine, by whether the engine probably holds its shared part. */
    void onPromptPlaced(UpstreamSelector.Choice choice, int sharedTokens) {
        if (!choice.holdsShared()) {
            sharedTokensMissing.inc(Math.max(0, sharedTokens - choice.storedTokens()));
            if (choice.atHome() && sharedTokens > 0) {
                homeLacksPart.inc();
            }
        } else if (!choice.atHome()) {
            placedAtHolder.inc();
        }
    }

    /** Counts parts that a cache store has freed for this node. */
    void onPartsFreed(int parts) {
        partsFreed.inc(parts);
    }

    /** Counts a call to free parts that a cache store refused or did not answer. */
    void onFreeFailed() {
        freesFailed.inc();
    }

    /** Counts a first event that was held until the store had acknowledged the report on its version. */
    void onFirstEventHeld(long millis) {
        firstEventsHeld.inc();
        firstEventHeld.update(millis, TimeUnit.MILLISECONDS);
    }

    /** Counts an attempt that failed because the store did not acknowledge the report on its version in time. */
    void onReportNotReplaced() {
        reportsNotReplaced.inc();
    }

    void onFirstByte(long millis) {
        firstByte.update(millis, TimeUnit.MILLISECONDS);
    }

    void onEnd(String outcome, long millis) {
        registry.counter("relay.outcome." + outcome).inc();
        duration.update(millis, TimeUnit.MILLISECONDS);
    }
}
