package org.cowslipbank.decision.admission;

/**
 * Input of the admission decision on one request, collected by {@link AdmissionQueue} from its queues. All times are in
 * milliseconds.
 *
 * @param rateWaitMillis time until the team's token bucket allows a request, zero if it does now
 * @param teamRequests number of the team's requests that are queued or in flight
 * @param concurrentRequests limit of these requests
 * @param placeWaitMillis expected time until one of the team's requests ends
 * @param placeFree true if the request may be sent now, ahead of all queued ones
 * @param expectedWaitMillis otherwise the expected wait in the queue
 * @param sendByMillis latest time at which the request may be sent
 * @param nowMillis the current time
 */
public record AdmissionInput(
        long rateWaitMillis,
        int teamRequests,
        int concurrentRequests,
        long placeWaitMillis,
        boolean placeFree,
        long expectedWaitMillis,
        long sendByMillis,
        long nowMillis) {}
