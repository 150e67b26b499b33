package org.cowslipbank.bench.virtual;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.streams.FinishedRun;
import org.cowslipbank.model.Refusal;

/** Records what a caller observes of one request. */
public final class SimCaller {
    final SimRequest request;
    final long sentMillis;
    final List<String> tokens = new ArrayList<>();
    long firstTokenMillis = -1;
    long endedMillis = -1;
    int completions;
    int errors;
    int attempts;
    /** Tokens of another request. */
    int foreignTokens;

    /** Tokens out of order or of another request; a completion with a wrong token count adds one. */
    int misplacedTokens;
    /** True once an engine has started a run of the request, whatever the caller is told. */
    boolean ranAtEngine;

    boolean disconnected;
    Refusal refusal;
    Runnable onEnd = () -> {};

    SimCaller(SimRequest request, long sentMillis) {
        this.request = request;
        this.sentMillis = sentMillis;
    }

    void onToken(int index, String text, long nowMillis) {
        if (firstTokenMillis < 0) {
            firstTokenMillis = nowMillis;
        }
        foreignTokens += text.startsWith(request.id().value() + ":") ? 0 : 1;
        boolean inPlace = index == tokens.size() && text.startsWith(request.id().value() + ":" + index + ":");
        misplacedTokens += inPlace ? 0 : 1;
        tokens.add(text);
    }

    void onCompleted(FinishedRun run, long nowMillis) {
        completions++;
        misplacedTokens += run.completionTokens() == tokens.size() ? 0 : 1;
        end(nowMillis);
    }

    void onFailed(Refusal answer, long nowMillis) {
        errors++;
        refusal = answer;
        end(nowMillis);
    }

    private void end(long nowMillis) {
        endedMillis = nowMillis;
        onEnd.run();
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    public SimRequest request() {
        return request;
    }

    /**
     * Returns the time at which the request was sent.
     *
     * @return the virtual time in milliseconds
     */
    public long sentMillis() {
        return sentMillis;
    }

    /**
     * Returns the time at which the answer or the error ended.
     *
     * @return the virtual time in milliseconds, -1 while the request is in progress
     */
    public long endedMillis() {
        return endedMillis;
    }

    /**
     * Returns the time to first token.
     *
     * @return the time in milliseconds, -1 if no token has arrived
     */
    public long timeToFirstTokenMillis() {
        return firstTokenMillis < 0 ? -1 : firstTokenMillis - sentMillis;
    }

    /**
     * Returns the error that the caller received.
     *
     * @return the error, or null if the request has not failed
     */
    public Refusal refusal() {
        return refusal;
    }

    /**
     * Returns the number of attempts that were sent to an engine.
     *
     * @return the number of attempts
     */
    public int attempts() {
        return attempts;
    }

    /**
     * Checks whether the caller received exactly one complete answer, all of it from one weight version.
     *
     * @return true if the answer is complete and correct
     */
    public boolean hasCompleteAnswer() {
        boolean oneVersion = tokens.stream()
                        .map(text -> text.substring(text.lastIndexOf(':')))
                        .distinct()
                        .count()
                <= 1;
        return completions == 1
                && errors == 0
                && tokens.size() == request.tokens()
                && misplacedTokens == 0
                && oneVersion;
    }

    /**
     * Sets the action that runs each time the request completes or fails.
     *
     * @param action the action
     */
    public void onEnd(Runnable action) {
        onEnd = action;
    }
}
