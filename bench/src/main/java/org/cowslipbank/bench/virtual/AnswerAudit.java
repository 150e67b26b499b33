package org.cowslipbank.bench.virtual;

import java.util.Collection;

import org.cowslipbank.model.RunState;

/**
 * Counts of correct and incorrect answers over a set of callers.
 *
 * @param requests requests whose caller stayed connected
 * @param complete requests with exactly one complete answer
 * @param refused requests that ended with an error
 * @param lost requests without an error and without a complete answer
 * @param duplicated requests with a repeated or misplaced token, or with more than one completion or error
 * @param misdelivered tokens that belong to another request
 * @param wrongRunStates errors whose run state is wrong: NOT_RUN for a run that started, or RAN for one that did not
 */
public record AnswerAudit(
        int requests, int complete, int refused, int lost, int duplicated, int misdelivered, int wrongRunStates) {
    /**
     * Counts the outcomes of some callers.
     *
     * @param callers the callers
     * @return the counts
     */
    public static AnswerAudit of(Collection<SimCaller> callers) {
        int complete = 0;
        int refused = 0;
        int lost = 0;
        int duplicated = 0;
        int misdelivered = 0;
        int wrongRunStates = 0;
        int requests = 0;
        for (SimCaller caller : callers) {
            misdelivered += caller.foreignTokens;
            duplicated += caller.completions + caller.errors > 1 || caller.misplacedTokens > 0 ? 1 : 0;
            wrongRunStates += reportsWrongRunState(caller) ? 1 : 0;
            if (caller.disconnected) {
                continue;
            }
            requests++;
            complete += caller.hasCompleteAnswer() ? 1 : 0;
            refused += caller.errors > 0 ? 1 : 0;
            lost += !caller.hasCompleteAnswer() && caller.errors == 0 ? 1 : 0;
        }
        return new AnswerAudit(requests, complete, refused, lost, duplicated, misdelivered, wrongRunStates);
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
    public AnswerAudit plus(AnswerAudit other) {
        return new AnswerAudit(
                requests + other.requests,
                complete + other.complete,
                refused + other.refused,
                lost + other.lost,
                duplicated + other.duplicated,
                misdelivered + other.misdelivered,
                wrongRunStates + other.wrongRunStates);
    }
}
