package org.cowslipbank.decision.admission;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.Refusal;

/** Decides whether one request is admitted, queued or refused. */
public final class AdmissionRule {
    /** The decision in a form that can be recorded and replayed. */
    public static final Decision<AdmissionInput, AdmissionAnswer> DECISION =
            new Decision<>("admit", AdmissionInput.class, AdmissionAnswer.class, AdmissionRule::decide);

    /** Upper bound of the retry delay in milliseconds; limits and capacity change in the meantime. */
    static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    /** Lower bound of the retry delay in milliseconds; clients round a shorter one to zero. */
    static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    private AdmissionRule() {}

    /**
     * Checks the team's limits, free capacity and the expected wait, in this order.
     *
     * @param input state of the team and the queues
     * @return the decision
     */
    public static AdmissionAnswer decide(AdmissionInput input) {
        if (input.rateWaitMillis() > 0) {
            return refused(
                    STATUS_TOO_MANY_REQUESTS,
                    "team_rate_exceeded",
                    "the team's request rate is used up",
                    input.rateWaitMillis());
        }
        if (input.teamRequests() >= input.concurrentRequests()) {
            return refused(
                    STATUS_TOO_MANY_REQUESTS,
                    "team_concurrency_exceeded",
                    "the team has its limit of requests in flight",
                    input.placeWaitMillis());
        }
        if (input.placeFree()) {
            return new AdmissionAnswer(AdmissionAnswer.Verdict.ADMITTED, null, 0);
        }
        long remainingMillis = input.sendByMillis() - input.nowMillis();
        if (input.expectedWaitMillis() > remainingMillis) {
            return refused(
                    STATUS_UNAVAILABLE,
                    "overloaded",
                    "the expected wait exceeds the deadline",
                    input.expectedWaitMillis() - Math.max(0, remainingMillis));
        }
        return new AdmissionAnswer(AdmissionAnswer.Verdict.QUEUED, null, input.expectedWaitMillis());
    }

    /** Returns the refusal of a queued request whose deadline has passed. */
    static Refusal expiredInQueue() {
        return Refusal.later(
                STATUS_UNAVAILABLE, "overloaded", "the wait exceeded the deadline", MIN_RETRY_AFTER_MILLIS);
    }

    private static AdmissionAnswer refused(int httpStatus, String code, String message, long waitMillis) {
        long retryAfterMillis = Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis));
        Refusal refusal = Refusal.later(httpStatus, code, message, retryAfterMillis);
        return new AdmissionAnswer(AdmissionAnswer.Verdict.REFUSED, refusal, waitMillis);
    }
}
