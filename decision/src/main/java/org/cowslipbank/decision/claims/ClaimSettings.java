package org.cowslipbank.decision.claims;

/**
 * Settings of idempotency claims. They must be the same on every node of a region.
 *
 * @param windows time windows of the keys
 * @param partitions number of partitions; it must not change while claims are retained
 * @param batchIntervalMillis shortest time between two log values of a partition, in milliseconds
 * @param recordTimeoutMillis time in milliseconds after which a request that could not be recorded is answered as
 *     refused, in progress or with an unknown outcome
 * @param inProgressMillis age up to which an unfinished claim counts as in progress, in milliseconds
 * @param idleSyncMillis interval at which an idle owner reads the end of its log, in milliseconds
 */
public record ClaimSettings(
        ClaimWindows windows,
        int partitions,
        long batchIntervalMillis,
        long recordTimeoutMillis,
        long inProgressMillis,
        long idleSyncMillis) {
    /**
     * Two partitions with a batch every 30 ms need at most 67 creates and 67 later deletes a second; with deletes
     * counted as writes, four partitions would exceed the key-value service's limit of 150 writes a second.
     */
    public static final ClaimSettings DEFAULT = new ClaimSettings(ClaimWindows.DEFAULT, 2, 30, 2_000, 30_000, 1_000);
}
