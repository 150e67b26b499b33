package org.cowslipbank.decision.claims;

/**
 * Time windows of idempotency keys. A key names the window in which it was issued and is accepted while that window is
 * retained.
 *
 * @param windowMillis length of a window in milliseconds
 * @param retentionWindows number of windows before the current one whose keys are accepted
 */
public record ClaimWindows(long windowMillis, int retentionWindows) {
    /** One-minute windows, accepted for half an hour. */
    public static final ClaimWindows DEFAULT = new ClaimWindows(60_000, 30);

    /**
     * Returns the current window, which endpoint lookups hand out to callers.
     *
     * @param wallMillis the time in milliseconds since the epoch
     * @return number of the current window
     */
    public long current(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Returns whether keys of a window are accepted.
     *
     * @param window number of the window
     * @param wallMillis the time in milliseconds since the epoch
     * @return true if the window is retained, current or the next one
     */
    public boolean isAccepted(long window, long wallMillis) {
        long current = current(wallMillis);
        return window >= current - retentionWindows && window <= current + 1;
    }
}
