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

/** One run of an engine stand-in. Guarded by the engine's lock. */
final class EngineRun {
    private final GenerateCall call;
    private final ModelRef ran;
    private final int promptTokens;
    private final int cachedTokens;
    private final int importedTokens;
    private final long seed;
    private final List<FluxSink<EngineEvent>> listeners = new ArrayList<>();
    private double prefillTokensLeft;
    private int emittedTokens;
    private boolean started;
    private boolean ended;
    private long lastListenerMillis;
    private long lastEventMillis;

    EngineRun(GenerateCall call, ModelRef ran, int promptTokens, int cachedTokens, int importedTokens) {
        this.call = call;
        this.ran = ran;
        this.promptTokens = promptTokens;
        this.cachedTokens = cachedTokens;
        this.importedTokens = importedTokens;
        this.seed = AnswerText.seed(call.prompt());
        this.prefillTokensLeft = promptTokens - cachedTokens;
    }

    GenerateCall call() {
        return call;
    }

    ModelRef ran() {
        return ran;
    }

    int computedTokens() {
        return promptTokens - cachedTokens;
    }

    double prefillTokensLeft() {
        return prefillTokensLeft;
    }

    boolean isEnded() {
        return ended;
    }

    boolean isDecoding() {
        return started && !ended;
    }

    boolean isOrphaned(long nowMillis, long graceMillis) {
        if (!listeners.isEmpty()) {
            lastListenerMillis = nowMillis;
            return false;
        }
        return nowMillis - lastListenerMillis > graceMillis;
    }

    /** Uses up to the given number of prefill tokens and returns how many were used. */
    double prefill(double budgetTokens) {
        double used = Math.min(budgetTokens, prefillTokensLeft);
        prefillTokensLeft -= used;
        return used;
    }

    void start(long nowMillis) {
        started = true;
        emit(new EngineEvent.Started(attempt(), ran), nowMillis);
    }

    void step(long nowMillis) {
        emit(token(firstIndex() + emittedTokens), nowMillis);
        emittedTokens++;
        if (emittedTokens >= call.maxTokens()) {
            ended = true;
            emit(finished(), nowMillis);
            completeListeners();
        }
    }

    void heartbeat(long nowMillis, long intervalMillis) {
        if (nowMillis - lastEventMillis >= intervalMillis) {
            emit(new EngineEvent.Heartbeat(attempt()), nowMillis);
        }
    }

    /** Adds a listener and sends it everything from the given token on. */
    void attach(FluxSink<EngineEvent> listener, int fromToken, long nowMillis) {
        lastListenerMillis = nowMillis;
        if (started) {
            listener.next(new EngineEvent.Started(attempt(), ran));
        }
        for (int index = Math.max(fromToken, firstIndex()); index < firstIndex() + emittedTokens; index++) {
            listener.next(token(index));
        }
        if (ended) {
            listener.next(finished());
            listener.complete();
            return;
        }
        listeners.add(listener);
    }

    void detach(FluxSink<EngineEvent> listener) {
        listeners.remove(listener);
    }

    /** Forgets the listeners without ending their connections, as a lost connection state would. */
    void mute() {
        listeners.clear();
    }

    void cancel() {
        ended = true;
        completeListeners();
    }

    // Completing a listener detaches it, so the list is emptied first.
    private void completeListeners() {
        List<FluxSink<EngineEvent>> completed = List.copyOf(listeners);
        listeners.clear();
        completed.forEach(FluxSink::complete);
    }

    private AttemptId attempt() {
        return call.attempt();
    }

    private int firstIndex() {
        return call.continuation().size();
    }

    private EngineEvent token(int index) {
        return new EngineEvent.Token(attempt(), index, AnswerText.token(seed, index));
    }

    private EngineEvent finished() {
        Usage usage = new Usage(promptTokens, cachedTokens, importedTokens, emittedTokens);
        return new EngineEvent.Finished(attempt(), FinishReason.LENGTH, usage);
    }

    private void emit(EngineEvent event, long nowMillis) {
        lastEventMillis = nowMillis;
        List.copyOf(listeners).forEach(listener -> listener.next(event));
    }
}
