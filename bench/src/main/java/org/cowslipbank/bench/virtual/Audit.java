package org.cowslipbank.bench.virtual;

import java.util.Collection;

import org.cowslipbank.model.RunState;

/**
 * Counts of correct and incorrect answers over a set of callers.
 *
 * @param requests requests whose caller stayed connected
 * @param whole requests with exactly one complete answer
 * @param refused requests that ended with an error
 * @param lost requests without an error and without a complete answer
 * @param doubled requests with a repeated or misplaced token, or with more than one completion or error
 * @param misdelivered tokens that belong to another request
 * @param falselyReported errors whose run state is wrong: NOT_RUN for a run that started, or RAN for one that did not
 */
public record Audit(
        int requests, int whole, int refused, int lost, int doubled, int misdelivered, int falselyReported) {
    /**
     * Counts the outcomes of some callers.
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
            misdelivered += caller.foreignTokens;
            doubled += caller.completions + caller.errors > 1 || caller.misplacedTokens > 0 ? 1 : 0;
            falselyReported += reportsWrongRunState(caller) ? 1 : 0;
            if (caller.disconnected) {
                continue;
            }
            requests++;
            whole += caller.whole() ? 1 : 0;
            refused += caller.errors > 0 ? 1 : 0;
            lost += !caller.whole() && caller.errors == 0 ? 1 : 0;
        }
        return new Audit(requests, whole, refused, lost, doubled, misdelivered, falselyReported);
    }

    private static boolean reportsWrongRunState(SimCaller caller) {
        if (caller.refusal == null) {
            return false;
        }
        RunState reported = caller.refusal.runState();
        return reported == RunState.NOT_RUN && caller.ranAtEngine || reported == RunState.RAN && !caller.ranAtEngine;
    }

    /**
     * Returns the sum of two audits, count by count.
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
