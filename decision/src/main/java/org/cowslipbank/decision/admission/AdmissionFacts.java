package org.cowslipbank.decision.admission;

/**
 * What the decision on one request depends on. {@link Admission} gathers it from its queues.
 *
 * @param rateWaitMillis time until the team's token bucket holds a request, zero if it does now
 * @param teamRequests the team's requests queued or in flight
 * @param concurrentRequests the most of them
 * @param placeWaitMillis expected time until one of the team's requests ends
 * @param placeFree true if a place is free that the request may take before all queued ones
 * @param expectedWaitMillis expected wait in the queue otherwise
 * @param sendByMillis time by which the request must be sent
 * @param nowMillis the time
 */
public record AdmissionFacts(
        long rateWaitMillis,
        int teamRequests,
        int concurrentRequests,
        long placeWaitMillis,
        boolean placeFree,
        long expectedWaitMillis,
        long sendByMillis,
        long nowMillis) {}
