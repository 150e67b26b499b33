package org.cowslipbank.decision.admission;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.Refusal;

/** Decides on one request. */
public final class AdmissionRule {
    /** The decision, to be recorded and replayed. */
    public static final Decision<AdmissionFacts, AdmissionAnswer> DECISION =
            new Decision<>("admit", AdmissionFacts.class, AdmissionAnswer.class, AdmissionRule::decide);

    /** Longest time to retry that a caller is told, in milliseconds; limits and capacity change meanwhile. */
    static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    /** Shortest time to retry that a caller is told, in milliseconds; clients round a smaller one to zero. */
    static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    private AdmissionRule() {}

    /**
     * Decides.
     *
     * @param facts what the decision depends on
     * @return the answer
     */
    public static AdmissionAnswer decide(AdmissionFacts facts) {
        if (facts.rateWaitMillis() > 0) {
            return refused(
                    TOO_MANY_REQUESTS,
                    "team_rate_exceeded",
                    "the team's request rate is used up",
                    facts.rateWaitMillis());
        }
        if (facts.teamRequests() >= facts.concurrentRequests()) {
            return refused(
                    TOO_MANY_REQUESTS,
                    "team_concurrency_exceeded",
                    "the team has its limit of requests in flight",
                    facts.placeWaitMillis());
        }
        if (facts.placeFree()) {
            return new AdmissionAnswer(AdmissionAnswer.Verdict.ADMITTED, null, 0);
        }
        long leftMillis = facts.sendByMillis() - facts.nowMillis();
        if (facts.expectedWaitMillis() > leftMillis) {
            return refused(
                    UNAVAILABLE,
                    "overloaded",
                    "the expected wait exceeds the deadline",
                    facts.expectedWaitMillis() - Math.max(0, leftMillis));
        }
        return new AdmissionAnswer(AdmissionAnswer.Verdict.QUEUED, null, facts.expectedWaitMillis());
    }

    /** Returns the refusal of a request whose wait in the queue used up its time. */
    static Refusal waitedTooLong() {
        return Refusal.later(UNAVAILABLE, "overloaded", "the wait exceeded the deadline", MIN_RETRY_AFTER_MILLIS);
    }

    private static AdmissionAnswer refused(int httpStatus, String code, String message, long waitMillis) {
        long retryAfterMillis = Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis));
        Refusal refusal = Refusal.later(httpStatus, code, message, retryAfterMillis);
        return new AdmissionAnswer(AdmissionAnswer.Verdict.REFUSED, refusal, waitMillis);
    }
}
