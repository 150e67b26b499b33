package org.cowslipbank.decision.admission;

import org.cowslipbank.model.Refusal;

/**
 * Decision on the admission of a request.
 *
 * @param verdict the verdict
 * @param refusal the response to the caller, null unless refused
 * @param expectedWaitMillis expected wait in milliseconds; for a refusal, the wait on which it is based
 */
public record AdmissionAnswer(Verdict verdict, Refusal refusal, long expectedWaitMillis) {
    /** What happens to the request. */
    public enum Verdict {
        /** It is sent now and counts as in flight until its end is recorded. */
        ADMITTED,
        /** It waits; a later {@link AdmissionRelease} contains it as admitted or refused. */
        QUEUED,
        /** It is refused and has not run. */
        REFUSED
    }
}
