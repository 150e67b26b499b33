package org.cowslipbank.decision.trace;

/**
 * First difference between a recorded outcome and its replay.
 *
 * @param sequence the line's sequence number
 * @param kind the decision
 * @param path JSON pointer to the value that differs, empty for the whole outcome
 * @param recorded the recorded value as JSON, or what is wrong with the line
 * @param replayed the replayed value as JSON
 */
public record Difference(long sequence, String kind, String path, String recorded, String replayed) {
    @Override
    public String toString() {
        String at = path.isEmpty() ? "" : " at " + path;
        return "sequence " + sequence + ", " + kind + at + ": recorded " + recorded + ", replayed " + replayed;
    }
}
