package org.cowslipbank.decision.claims;

/**
 * Settings of the claims. They are the same on every node of a region.
 *
 * @param windows time windows of the keys
 * @param partitions number of partitions; it must not change while claims are retained
 * @param batchMillis shortest time between two log values of a partition, in milliseconds
 * @param patienceMillis time after which a call that cannot be recorded is answered, in milliseconds
 * @param inProgressMillis age up to which an unfinished claim counts as in progress, in milliseconds
 * @param idleSyncMillis interval in which an idle owner reads the end of its log, in milliseconds
 */
public record ClaimSettings(
        ClaimWindows windows,
        int partitions,
        long batchMillis,
        long patienceMillis,
        long inProgressMillis,
        long idleSyncMillis) {
    /**
     * Two partitions, a batch every 30 ms. Every log value is later deleted, so two partitions cost at most 67 creates
     * and 67 deletes a second; four would exceed the stated 150 writes a second once deletes are counted.
     */
    public static final ClaimSettings DEFAULT = new ClaimSettings(ClaimWindows.DEFAULT, 2, 30, 2_000, 30_000, 1_000);
}
