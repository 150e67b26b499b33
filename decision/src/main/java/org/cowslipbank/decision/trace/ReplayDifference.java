package org.cowslipbank.decision.trace;

/**
 * First difference between a recorded outcome and its replay.
 *
 * @param sequence the line's sequence number
 * @param kind name of the decision
 * @param path JSON pointer to the differing value, empty for the whole outcome
 * @param recorded the recorded value as JSON, {@code nothing} if absent
 * @param replayed the replayed value as JSON, {@code nothing} if absent
 */
public record ReplayDifference(long sequence, String kind, String path, String recorded, String replayed) {
    @Override
    public String toString() {
        String at = path.isEmpty() ? "" : " at " + path;
        return "sequence " + sequence + ", " + kind + at + ": recorded " + recorded + ", replayed " + replayed;
    }
}
