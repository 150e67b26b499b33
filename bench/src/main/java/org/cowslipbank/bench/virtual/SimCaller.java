package org.cowslipbank.bench.virtual;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.streams.FinishedRun;
import org.cowslipbank.model.Refusal;

/** What a caller saw of one request. */
public final class SimCaller {
    final SimRequest request;
    final long sentMillis;
    final List<String> tokens = new ArrayList<>();
    long firstTokenMillis = -1;
    long endedMillis = -1;
    int completions;
    int errors;
    int attempts;
    int foreign;
    int misplaced;
    boolean ranInTruth;
    boolean gone;
    Refusal refusal;
    Runnable onEnd = () -> {};

    SimCaller(SimRequest request, long sentMillis) {
        this.request = request;
        this.sentMillis = sentMillis;
    }

    void token(int index, String text, long nowMillis) {
        if (firstTokenMillis < 0) {
            firstTokenMillis = nowMillis;
        }
        foreign += text.startsWith(request.id().value() + ":") ? 0 : 1;
        boolean inPlace = index == tokens.size() && text.startsWith(request.id().value() + ":" + index + ":");
        misplaced += inPlace ? 0 : 1;
        tokens.add(text);
    }

    void completed(FinishedRun run, long nowMillis) {
        completions++;
        misplaced += run.completionTokens() == tokens.size() ? 0 : 1;
        end(nowMillis);
    }

    void failed(Refusal answer, long nowMillis) {
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
     * @return the time in milliseconds
     */
    public long sentMillis() {
        return sentMillis;
    }

    /**
     * Returns the time at which the answer or the error ended.
     *
     * @return the time in milliseconds, -1 if it has not
     */
    public long endedMillis() {
        return endedMillis;
    }

    /**
     * Returns the time to first token.
     *
     * @return the time in milliseconds, -1 without a token
     */
    public long timeToFirstTokenMillis() {
        return firstTokenMillis < 0 ? -1 : firstTokenMillis - sentMillis;
    }

    /**
     * Returns the error, if the caller was told one.
     *
     * @return the error or null
     */
    public Refusal refusal() {
        return refusal;
    }

    /**
     * Returns the number of attempts that were sent to an engine.
     *
     * @return the number
     */
    public int attempts() {
        return attempts;
    }

    /**
     * Tells whether the caller has one whole answer of one weight version.
     *
     * @return true if it has
     */
    public boolean whole() {
        boolean oneVersion = tokens.stream()
                        .map(text -> text.substring(text.lastIndexOf(':')))
                        .distinct()
                        .count()
                <= 1;
        return completions == 1 && errors == 0 && tokens.size() == request.tokens() && misplaced == 0 && oneVersion;
    }

    /**
     * Sets an action that runs when the answer or the error has ended.
     *
     * @param action the action
     */
    public void onEnd(Runnable action) {
        onEnd = action;
    }
}
