package org.cowslipbank.standins;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.ports.EngineEvent;
import org.cowslipbank.ports.FinishReason;
import org.cowslipbank.ports.GenerateCall;
import org.cowslipbank.ports.Usage;
import reactor.core.publisher.FluxSink;

/** One generation run of an engine stand-in. All access is guarded by the engine's lock. */
final class EngineRun {
    private final GenerateCall call;
    private final ModelRef loadedModel;
    private final int promptTokens;
    private final int cachedTokens;
    private final int importedTokens;
    private final long seed;
    private final List<FluxSink<EngineEvent>> listeners = new ArrayList<>();
    private double prefillTokensLeft;
    private int emittedTokens;
    private boolean started;
    private boolean finished;
    private long lastListenerMillis;
    private long lastEventMillis;

    EngineRun(GenerateCall call, ModelRef loadedModel, int promptTokens, int cachedTokens, int importedTokens) {
        this.call = call;
        this.loadedModel = loadedModel;
        this.promptTokens = promptTokens;
        this.cachedTokens = cachedTokens;
        this.importedTokens = importedTokens;
        this.seed = AnswerText.seed(call.prompt());
        this.prefillTokensLeft = promptTokens - cachedTokens;
    }

    GenerateCall call() {
        return call;
    }

    ModelRef loadedModel() {
        return loadedModel;
    }

    int computedTokens() {
        return promptTokens - cachedTokens;
    }

    double prefillTokensLeft() {
        return prefillTokensLeft;
    }

    boolean isFinished() {
        return finished;
    }

    boolean isDecoding() {
        return started && !finished;
    }

    /**
     * Returns whether the run has had no listener for longer than the given time. If it has one, also records the
     * current time as the last time with a listener.
     */
    boolean updateAndCheckOrphaned(long nowMillis, long graceMillis) {
        if (!listeners.isEmpty()) {
            lastListenerMillis = nowMillis;
            return false;
        }
        return nowMillis - lastListenerMillis > graceMillis;
    }

    /** Computes at most the given number of prompt tokens and returns how many were computed. */
    double prefill(double budgetTokens) {
        double used = Math.min(budgetTokens, prefillTokensLeft);
        prefillTokensLeft -= used;
        return used;
    }

    void startDecoding(long nowMillis) {
        started = true;
        emit(new EngineEvent.Started(attempt(), loadedModel), nowMillis);
    }

    void generateToken(long nowMillis) {
        emit(tokenEvent(firstTokenIndex() + emittedTokens), nowMillis);
        emittedTokens++;
        if (emittedTokens >= call.maxTokens()) {
            finished = true;
            emit(finishedEvent(), nowMillis);
            completeListeners();
        }
    }

    void sendHeartbeatIfIdle(long nowMillis, long intervalMillis) {
        if (nowMillis - lastEventMillis >= intervalMillis) {
            emit(new EngineEvent.Heartbeat(attempt()), nowMillis);
        }
    }

    /** Adds a listener and sends it the past events from the given token index on. */
    void attach(FluxSink<EngineEvent> listener, int fromToken, long nowMillis) {
        lastListenerMillis = nowMillis;
        if (started) {
            listener.next(new EngineEvent.Started(attempt(), loadedModel));
        }
        for (int index = Math.max(fromToken, firstTokenIndex()); index < firstTokenIndex() + emittedTokens; index++) {
            listener.next(tokenEvent(index));
        }
        if (finished) {
            listener.next(finishedEvent());
            listener.complete();
            return;
        }
        listeners.add(listener);
    }

    void detach(FluxSink<EngineEvent> listener) {
        listeners.remove(listener);
    }

    /** Drops the listeners without closing their connections, which then stay open but silent. */
    void dropListeners() {
        listeners.clear();
    }

    /** Ends the run without a finish event. It counts as finished, so that the engine removes it. */
    void cancel() {
        finished = true;
        completeListeners();
    }

    // Completing a listener calls detach, so the list is copied and cleared first.
    private void completeListeners() {
        List<FluxSink<EngineEvent>> completed = List.copyOf(listeners);
        listeners.clear();
        completed.forEach(FluxSink::complete);
    }

    private AttemptId attempt() {
        return call.attempt();
    }

    private int firstTokenIndex() {
        return call.continuation().size();
    }

    private EngineEvent tokenEvent(int index) {
        return new EngineEvent.Token(attempt(), index, AnswerText.token(seed, index));
    }

    private EngineEvent finishedEvent() {
        Usage usage = new Usage(promptTokens, cachedTokens, importedTokens, emittedTokens);
        return new EngineEvent.Finished(attempt(), FinishReason.LENGTH, usage);
    }

    private void emit(EngineEvent event, long nowMillis) {
        lastEventMillis = nowMillis;
        List.copyOf(listeners).forEach(listener -> listener.next(event));
    }
}
