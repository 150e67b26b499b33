package org.cowslipbank.decision.relay;

import org.cowslipbank.decision.hashing.Rendezvous;

/**
 * Decides when the client of a refused request comes back.
 *
 * <p>The load pattern that this answers is a burst or a restart in which many requests are refused within milliseconds:
 * with the same delay their clients would come back together and be refused again.
 */
public final class RetryDelay {
    /** Part of a delay by which it may be longer, so that clients that were refused together come back one by one. */
    static final double SPREAD = 0.5;

    private static final int STEPS = 1_024;

    private RetryDelay() {}

    /**
     * Spreads a delay by the request's identifier, which is new for each attempt of a client.
     *
     * @param delayMillis the shortest delay in milliseconds; zero if the client is not to come back
     * @param requestId the request's identifier
     * @return the delay in milliseconds, at most one and a half times the shortest
     */
    public static long spreadMillis(long delayMillis, String requestId) {
        double position = Math.floorMod(Rendezvous.hash(requestId), STEPS) / (double) STEPS;
        return delayMillis + (long) (delayMillis * SPREAD * position);
    }
}
