package org.cowslipbank.model.relay;

/**
 * A weight version that operators named for a model.
 *
 * @param model the model's name
 * @param version the version, from one
 * @param revision revision of the metadata store at which it was named
 * @param seenAtMillis monotonic time in milliseconds at which this node learned of it
 */
public record NamedVersion(String model, long version, long revision, long seenAtMillis) {
    /**
     * Returns the same version with the time at which it was learned.
     *
     * @param millis monotonic time in milliseconds
     * @return the version
     */
    public NamedVersion seenAt(long millis) {
        return new NamedVersion(model, version, revision, millis);
    }
}
