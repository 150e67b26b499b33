package org.cowslipbank.model.fleet;

import java.util.Comparator;

import org.cowslipbank.model.UpstreamId;

/**
 * Says whether an upstream leaves. The greater version wins.
 *
 * @param upstream the upstream
 * @param leaving true if it takes no new work
 * @param version version of the statement, at least the wall-clock milliseconds at which it was made
 * @param remainingSeconds time in seconds after which the fact is dropped
 */
public record UpstreamFact(UpstreamId upstream, boolean leaving, long version, int remainingSeconds) {
    private static final Comparator<UpstreamFact> PRECEDENCE =
            Comparator.comparingLong(UpstreamFact::version).thenComparing(UpstreamFact::leaving);

    /**
     * Compares the precedence of two facts about the same upstream, regardless of their remaining time.
     *
     * @param other the other fact
     * @return positive if this one takes precedence, zero if both state the same
     */
    public int comparePrecedence(UpstreamFact other) {
        return PRECEDENCE.compare(this, other);
    }
}
