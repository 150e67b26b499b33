package org.cowslipbank.model.fleet;

import java.util.Comparator;

import org.cowslipbank.model.UpstreamId;

/**
 * Whether an upstream is leaving. The greater version takes precedence.
 *
 * @param upstream the upstream
 * @param leaving true if it accepts no new requests
 * @param version version of the fact, at least the wall-clock milliseconds at which it was created
 * @param remainingSeconds time in seconds until the fact expires
 */
public record UpstreamFact(UpstreamId upstream, boolean leaving, long version, int remainingSeconds) {
    private static final Comparator<UpstreamFact> PRECEDENCE =
            Comparator.comparingLong(UpstreamFact::version).thenComparing(UpstreamFact::leaving);

    /**
     * Compares the precedence of two facts about the same upstream, regardless of their remaining time.
     *
     * @param other the other fact
     * @return positive if this one takes precedence, zero if their content is equal
     */
    public int comparePrecedence(UpstreamFact other) {
        return PRECEDENCE.compare(this, other);
    }
}
