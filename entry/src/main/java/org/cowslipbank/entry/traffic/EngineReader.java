package org.cowslipbank.entry.traffic;

import java.util.Locale;
import java.util.function.Consumer;

import org.cowslipbank.decision.streams.FailureKind;
import org.cowslipbank.decision.streams.FinishedRun;
import org.cowslipbank.decision.streams.StreamEvent;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.EngineEvent;
import org.cowslipbank.ports.Usage;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

/** Reads the events of one connection to an engine with backpressure and passes them on as stream events. */
final class EngineReader extends BaseSubscriber<EngineEvent> {
    private static final int READ_AHEAD_EVENTS = 64;

    private final AttemptId attempt;
    private final int connection;
    private final Consumer<StreamEvent> events;
    private boolean paused;
    private int withheldDemand;
    private boolean finished;

    EngineReader(AttemptId attempt, int connection, Consumer<StreamEvent> events) {
        this.attempt = attempt;
        this.connection = connection;
        this.events = events;
    }

    AttemptId attempt() {
        return attempt;
    }

    int connection() {
        return connection;
    }

    void pauseReading() {
        synchronized (this) {
            paused = true;
        }
    }

    void continueReading() {
        int demand;
        synchronized (this) {
            paused = false;
            demand = withheldDemand;
            withheldDemand = 0;
        }
        if (demand > 0) {
            request(demand);
        }
    }

    @Override
    protected void hookOnSubscribe(Subscription subscription) {
        request(READ_AHEAD_EVENTS);
    }

    @Override
    protected void hookOnNext(EngineEvent event) {
        events.accept(toStreamEvent(event));
        boolean requestNext;
        synchronized (this) {
            requestNext = !paused;
            withheldDemand += paused ? 1 : 0;
        }
        if (requestNext) {
            request(1);
        }
    }

    @Override
    protected void hookOnComplete() {
        if (!finished) {
            events.accept(new StreamEvent.Failed(attempt, connection, FailureKind.BROKEN));
        }
    }

    @Override
    protected void hookOnError(Throwable error) {
        events.accept(new StreamEvent.Failed(attempt, connection, failureKind(error)));
    }

    private FailureKind failureKind(Throwable error) {
        boolean notRun = error instanceof PeerException peer && peer.runState() == RunState.NOT_RUN;
        if (!notRun) {
            return FailureKind.BROKEN;
        }
        if (error.getCause() != null) {
            return FailureKind.NOT_REACHED;
        }
        return connection > 0 ? FailureKind.UNKNOWN_ATTEMPT : FailureKind.REFUSED;
    }

    private StreamEvent toStreamEvent(EngineEvent event) {
        if (event instanceof EngineEvent.Token token) {
            return new StreamEvent.Token(token.attempt(), connection, token.index(), token.text());
        }
        if (event instanceof EngineEvent.Started started) {
            return new StreamEvent.Started(started.attempt(), connection, started.ran());
        }
        if (event instanceof EngineEvent.Finished end) {
            finished = true;
            return new StreamEvent.Finished(end.attempt(), connection, finishedRun(end));
        }
        return new StreamEvent.Heartbeat(event.attempt(), connection);
    }

    private FinishedRun finishedRun(EngineEvent.Finished end) {
        Usage usage = end.usage();
        return new FinishedRun(
                end.reason().name().toLowerCase(Locale.ROOT),
                usage.promptTokens(),
                usage.cachedTokens(),
                usage.importedTokens(),
                usage.completionTokens(),
                true);
    }
}
