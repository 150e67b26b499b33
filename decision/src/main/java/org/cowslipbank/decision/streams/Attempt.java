package org.cowslipbank.decision.streams;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.UpstreamId;

/**
 * State of the current attempt.
 *
 * @param id the attempt
 * @param number its number, from one
 * @param upstream the upstream, null until the attempt is sent
 * @param expected the weight version that the call names
 * @param fromToken tokens given as continuation
 * @param connection number of the current connection, from zero
 * @param verified true once the engine named the expected weight version
 * @param resumes resumes since the last new token
 * @param run what is known about whether this attempt ran
 * @param sentAtMillis when it was sent
 * @param heardAtMillis when the last event arrived
 * @param tokenAtMillis when the last new token arrived
 */
public record Attempt(
        AttemptId id,
        int number,
        UpstreamId upstream,
        ModelRef expected,
        int fromToken,
        int connection,
        boolean verified,
        int resumes,
        RunState run,
        long sentAtMillis,
        long heardAtMillis,
        long tokenAtMillis) {
    static Attempt opening(AttemptId id, int number, ModelRef expected, int fromToken, long nowMillis) {
        return new Attempt(
                id, number, null, expected, fromToken, 0, false, 0, RunState.NOT_RUN, nowMillis, nowMillis, nowMillis);
    }

    Attempt sent(UpstreamId to, ModelRef model, long nowMillis) {
        return new Attempt(
                id, number, to, model, fromToken, 0, false, 0, RunState.UNKNOWN, nowMillis, nowMillis, nowMillis);
    }

    Attempt started(long nowMillis) {
        return copy(connection, true, resumes, RunState.RAN, nowMillis, tokenAtMillis);
    }

    Attempt heard(long nowMillis) {
        return copy(connection, verified, resumes, run, nowMillis, tokenAtMillis);
    }

    Attempt heardToken(long nowMillis) {
        return copy(connection, verified, resumes, run, heardAtMillis, nowMillis);
    }

    Attempt progressed(long nowMillis) {
        return copy(connection, verified, 0, RunState.RAN, nowMillis, nowMillis);
    }

    Attempt reconnecting(long nowMillis) {
        return copy(connection + 1, verified, resumes + 1, run, nowMillis, tokenAtMillis);
    }

    Attempt withRun(RunState state) {
        return copy(connection, verified, resumes, state, heardAtMillis, tokenAtMillis);
    }

    private Attempt copy(
            int newConnection,
            boolean newVerified,
            int newResumes,
            RunState newRun,
            long newHeardAtMillis,
            long newTokenAtMillis) {
        return new Attempt(
                id,
                number,
                upstream,
                expected,
                fromToken,
                newConnection,
                newVerified,
                newResumes,
                newRun,
                sentAtMillis,
                newHeardAtMillis,
                newTokenAtMillis);
    }
}
