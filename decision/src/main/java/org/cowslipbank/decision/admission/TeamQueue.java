package org.cowslipbank.decision.admission;

import java.util.ArrayDeque;

/** A team's queue and counters at one node. */
final class TeamQueue {
    /** Queued requests in order of arrival. */
    final ArrayDeque<Waiting> waiting = new ArrayDeque<>();

    TeamShare share;
    TokenBucket bucket;
    int inFlight;
    double lastFinishTag;
    ArrivalRate arrivals = ArrivalRate.NONE;
    double queuedCost;

    /**
     * A queued request.
     *
     * @param request the request
     * @param startTag its start tag in virtual time
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
