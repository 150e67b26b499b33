package org.cowslipbank.model.relay;

/**
 * A model's target weight version, as set by the operators.
 *
 * @param model the model's name
 * @param version the version, from one
 * @param revision revision of the metadata store at which it was set
 * @param seenAtMillis monotonic time in milliseconds at which this node read it
 */
public record TargetVersion(String model, long version, long revision, long seenAtMillis) {
    /**
     * Returns a copy with another time of reading.
     *
     * @param millis monotonic time in milliseconds
     * @return the version
     */
    public TargetVersion withSeenAtMillis(long millis) {
        return new TargetVersion(model, version, revision, millis);
    }
}
