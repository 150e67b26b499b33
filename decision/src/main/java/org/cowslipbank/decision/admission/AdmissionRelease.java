package org.cowslipbank.decision.admission;

import java.util.List;

import org.cowslipbank.model.Refusal;

/**
 * Queued requests that leave the queue.
 *
 * @param admitted requests to send now, in this order
 * @param refused requests to refuse; none of them was sent
 */
public record AdmissionRelease(List<AdmissionRequest> admitted, List<Refused> refused) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public AdmissionRelease {
        admitted = List.copyOf(admitted);
        refused = List.copyOf(refused);
    }

    /**
     * A queued request that is refused.
     *
     * @param request the request
     * @param refusal the response to the caller
     */
    public record Refused(AdmissionRequest request, Refusal refusal) {}
}
