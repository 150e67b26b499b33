package org.cowslipbank.decision.claims;

/**
 * Time windows of idempotency keys.
 *
 * @param windowMillis length of a window in milliseconds
 * @param retentionWindows number of windows before the current one whose keys are accepted
 */
public record ClaimWindows(long windowMillis, int retentionWindows) {
    /** One-minute windows, accepted for half an hour. */
    public static final ClaimWindows DEFAULT = new ClaimWindows(60_000, 30);

    /**
     * Returns the window to issue with an address lookup.
     *
     * @param wallMillis the time in milliseconds since the epoch
     * @return the current window
     */
    public long current(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Tells whether keys of a window are accepted.
     *
     * @param window the window
     * @param wallMillis the time in milliseconds since the epoch
     * @return true if the window is neither older than the retention nor later than the next one
     */
    public boolean isAccepted(long window, long wallMillis) {
        long current = current(wallMillis);
        return window >= current - retentionWindows && window <= current + 1;
    }
}
