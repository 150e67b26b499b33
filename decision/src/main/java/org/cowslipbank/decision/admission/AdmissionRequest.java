package org.cowslipbank.decision.admission;

import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/**
 * A request that asks for admission.
 *
 * @param request the request
 * @param team the team
 * @param cost expected work relative to a usual request of the model, above zero
 * @param sendByMillis time by which it must be sent to an upstream; later it is refused. The caller's deadline less the
 *     time that the first token usually takes once a request is sent
 */
public record AdmissionRequest(RequestId request, TeamId team, double cost, long sendByMillis) {}
