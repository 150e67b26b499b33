package org.cowslipbank.decision.entries;

/**
 * How long a draining node must keep serving: until every lookup answer that names it has expired. Other nodes name it
 * in their answers until they learn by gossip that it leaves.
 *
 * @param lastValidUntilMillis latest expiry of the answers that this node has issued, in milliseconds; zero if there is
 *     none
 */
public record DrainPlan(long lastValidUntilMillis) {
    /** Time in milliseconds within which every node has learned that a node leaves (P7). */
    public static final long GOSSIP_SPREAD_MILLIS = 3_000;

    /** Margin in milliseconds for clock differences and for requests in flight when an answer expires. */
    public static final long EXPIRY_MARGIN_MILLIS = 2_000;

    /** Plan of a node that has issued no answer. */
    public static final DrainPlan NONE = new DrainPlan(0);

    /**
     * Returns a plan that also covers an answer that this node issues.
     *
     * @param answer the answer
     * @return the new plan
     */
    public DrainPlan withIssuedAnswer(EndpointAnswer answer) {
        return new DrainPlan(Math.max(lastValidUntilMillis, answer.validUntilMillis()));
    }

    /**
     * Returns the time until which the node must keep serving.
     *
     * @param drainStartMillis start of the drain in milliseconds, on the same clock as the answers
     * @param validMillis validity of the answers that other nodes issue, in milliseconds
     * @return the time in milliseconds, on the same clock
     */
    public long serveUntilMillis(long drainStartMillis, long validMillis) {
        long othersValidUntilMillis = drainStartMillis + GOSSIP_SPREAD_MILLIS + validMillis;
        return Math.max(lastValidUntilMillis, othersValidUntilMillis) + EXPIRY_MARGIN_MILLIS;
    }
}
