package org.cowslipbank.decision.entries;

/**
 * How long a draining node must serve. Other nodes name it until they have heard that it leaves, so the end is counted
 * from there as well as from the last answer that it issued itself.
 *
 * @param lastValidUntilMillis end of the last validity that this node issued, zero if it issued none
 */
public record DrainPlan(long lastValidUntilMillis) {
    /** Time in milliseconds within which every node has heard that a node leaves (P7). */
    public static final long SPREAD_MILLIS = 3_000;

    /** Margin in milliseconds for clocks and requests that are on their way when a validity ends. */
    public static final long MARGIN_MILLIS = 2_000;

    /** The plan of a node that has issued no answer. */
    public static final DrainPlan NONE = new DrainPlan(0);

    /**
     * Takes note of an answer.
     *
     * @param answer the answer
     * @return the new plan
     */
    public DrainPlan issued(EntryAnswer answer) {
        return new DrainPlan(Math.max(lastValidUntilMillis, answer.validUntilMillis()));
    }

    /**
     * Returns until when the node must serve.
     *
     * @param drainStartMillis when the drain started
     * @param validMillis the validity that other nodes issue, in milliseconds
     * @return the time in milliseconds
     */
    public long serveUntilMillis(long drainStartMillis, long validMillis) {
        long othersUntil = drainStartMillis + SPREAD_MILLIS + validMillis;
        return Math.max(lastValidUntilMillis, othersUntil) + MARGIN_MILLIS;
    }
}
