package org.cowslipbank.decision.admission;

import java.util.List;

import org.cowslipbank.model.Refusal;

/**
 * Queued requests whose wait has ended.
 *
 * @param admitted requests to send now, in order
 * @param refused requests to refuse; none was sent
 */
public record AdmissionRelease(List<AdmissionRequest> admitted, List<Refused> refused) {
    /** Copies the lists. */
    public AdmissionRelease {
        admitted = List.copyOf(admitted);
        refused = List.copyOf(refused);
    }

    /**
     * A queued request that is refused.
     *
     * @param request the request
     * @param refusal what the caller is told
     */
    public record Refused(AdmissionRequest request, Refusal refusal) {}
}
