package org.cowslipbank.decision.admission;

import org.cowslipbank.model.Refusal;

/**
 * Answer to a request for admission.
 *
 * @param verdict the verdict
 * @param refusal what the caller is told, null unless refused
 * @param expectedWaitMillis expected wait in the queue in milliseconds
 */
public record AdmissionAnswer(Verdict verdict, Refusal refusal, long expectedWaitMillis) {
    /** What happens to the request. */
    public enum Verdict {
        /** It is sent now and counts as in flight until it is released. */
        ADMITTED,
        /** It waits; a later call names it as admitted or refused. */
        QUEUED,
        /** It is refused as not run. */
        REFUSED
    }
}
