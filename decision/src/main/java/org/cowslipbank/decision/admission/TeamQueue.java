package org.cowslipbank.decision.admission;

import java.util.ArrayDeque;

/** Queue, token bucket and counters of one team at one node. */
final class TeamQueue {
    /** Queued requests in order of arrival. */
    final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

    TeamShare share;
    TokenBucket bucket;
    int inFlight;
    /** Finish tag of the team's latest request in virtual time. */
    double lastFinishTag;

    ArrivalRate arrivals = ArrivalRate.NONE;
    /** Total cost of the queued requests. */
    double queuedCost;

    /**
     * A queued request.
     *
     * @param request the request
     * @param startTag start tag in virtual time
     */
    record Waiting(AdmissionRequest request, double startTag) {}

    TeamQueue(TeamShare share, long nowMillis) {
        this.share = share;
        this.bucket = new TokenBucket(share.burstRequests(), nowMillis);
    }

    boolean idle() {
        return waiting.isEmpty() && inFlight == 0;
    }
}
