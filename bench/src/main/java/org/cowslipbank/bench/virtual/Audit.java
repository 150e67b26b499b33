package org.cowslipbank.bench.virtual;

import java.util.Collection;

import org.cowslipbank.model.RunState;

/**
 * Counts of wrong answers over some callers.
 *
 * @param requests requests of callers that stayed
 * @param whole requests with one whole answer
 * @param refused requests with one error
 * @param lost requests without an end, or with an answer that is not whole
 * @param doubled requests with a repeated token or more than one end
 * @param misdelivered tokens that belong to another request
 * @param falselyReported errors that say not run though it ran, or ran though it did not
 */
public record Audit(
        int requests, int whole, int refused, int lost, int doubled, int misdelivered, int falselyReported) {
    /**
     * Counts.
     *
     * @param callers the callers
     * @return the counts
     */
    public static Audit of(Collection<SimCaller> callers) {
        int whole = 0;
        int refused = 0;
        int lost = 0;
        int doubled = 0;
        int misdelivered = 0;
        int falselyReported = 0;
        int requests = 0;
        for (SimCaller caller : callers) {
            misdelivered += caller.foreign;
            doubled += caller.completions + caller.errors > 1 || caller.misplaced > 0 ? 1 : 0;
            falselyReported += isFalse(caller) ? 1 : 0;
            if (caller.gone) {
                continue;
            }
            requests++;
            whole += caller.whole() ? 1 : 0;
            refused += caller.errors > 0 ? 1 : 0;
            lost += !caller.whole() && caller.errors == 0 ? 1 : 0;
        }
        return new Audit(requests, whole, refused, lost, doubled, misdelivered, falselyReported);
    }

    private static boolean isFalse(SimCaller caller) {
        if (caller.refusal == null) {
            return false;
        }
        RunState told = caller.refusal.runState();
        return told == RunState.NOT_RUN && caller.ranInTruth || told == RunState.RAN && !caller.ranInTruth;
    }

    /**
     * Adds counts.
     *
     * @param other the other counts
     * @return the sum
     */
    public Audit plus(Audit other) {
        return new Audit(
                requests + other.requests,
                whole + other.whole,
                refused + other.refused,
                lost + other.lost,
                doubled + other.doubled,
                misdelivered + other.misdelivered,
                falselyReported + other.falselyReported);
    }
}
