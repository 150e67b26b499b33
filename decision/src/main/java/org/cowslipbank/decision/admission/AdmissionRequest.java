package org.cowslipbank.decision.admission;

import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/**
 * A request to be admitted.
 *
 * @param request identifier of the request
 * @param team the team
 * @param cost expected work relative to an average request of the model, above zero
 * @param sendByMillis latest time in milliseconds at which it may be sent to an upstream, after which it is refused:
 *     the caller's deadline minus the usual time from sending to the first token
 */
public record AdmissionRequest(RequestId request, TeamId team, double cost, long sendByMillis) {}
