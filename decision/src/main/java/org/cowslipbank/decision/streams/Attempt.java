package org.cowslipbank.decision.streams;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.UpstreamId;

/**
 * State of an attempt to run a request on one upstream. Times are milliseconds on the monotonic clock of the stream.
 *
 * @param id identifier of the attempt
 * @param number its number, from one
 * @param upstream the upstream, null until the attempt is sent
 * @param expected the model, weight version and adapter named in the call to the engine
 * @param fromToken number of tokens already emitted, which the run continues from
 * @param connection number of the current connection, from zero
 * @param verified true once the engine has reported that it runs the expected weight version
 * @param resumes number of resumes since the last new token
 * @param run what is known about whether this attempt ran
 * @param sentAtMillis when it was sent
 * @param heardAtMillis when the last event arrived or the current connection was requested, whichever is later
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
    static Attempt unsent(AttemptId id, int number, ModelRef expected, int fromToken, long nowMillis) {
        return new Attempt(
                id, number, null, expected, fromToken, 0, false, 0, RunState.NOT_RUN, nowMillis, nowMillis, nowMillis);
    }

    Attempt asSent(UpstreamId to, ModelRef model, long nowMillis) {
        return new Attempt(
                id, number, to, model, fromToken, 0, false, 0, RunState.UNKNOWN, nowMillis, nowMillis, nowMillis);
    }

    Attempt withStart(long nowMillis) {
        return with(connection, true, resumes, RunState.RAN, nowMillis, tokenAtMillis);
    }

    Attempt withEventAt(long nowMillis) {
        return with(connection, verified, resumes, run, nowMillis, tokenAtMillis);
    }

    Attempt withTokenAt(long nowMillis) {
        return with(connection, verified, resumes, run, heardAtMillis, nowMillis);
    }

    Attempt withNewToken(long nowMillis) {
        return with(connection, verified, 0, RunState.RAN, nowMillis, nowMillis);
    }

    Attempt withNextConnection(long nowMillis) {
        return with(connection + 1, verified, resumes + 1, run, nowMillis, tokenAtMillis);
    }

    Attempt withRun(RunState state) {
        return with(connection, verified, resumes, state, heardAtMillis, tokenAtMillis);
    }

    private Attempt with(
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
