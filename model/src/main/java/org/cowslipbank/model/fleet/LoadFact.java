package org.cowslipbank.model.fleet;

import java.util.Comparator;

import org.cowslipbank.model.UpstreamId;

/**
 * Load digest of an upstream, taken by the node that watches the upstream. The greater version takes
 * precedence.
 *
 * @param upstream the upstream
 * @param version version of the digest, at least the wall-clock milliseconds at which it was taken
 * @param running runs in the batch
 * @param waiting runs that are queued
 * @param waitingPromptTokens prompt tokens of the queued runs, not yet computed
 * @param prefillTokensPerSecond rate at which prompt tokens are computed
 * @param slots largest number of runs in the batch
 * @param loading true while the upstream loads new weights
 * @param ageMillis age of the digest in milliseconds when it was sent
 */
public record LoadFact(
        UpstreamId upstream,
        long version,
        int running,
        int waiting,
        int waitingPromptTokens,
        int prefillTokensPerSecond,
        int slots,
        boolean loading,
        int ageMillis) {
    private static final Comparator<LoadFact> PRECEDENCE = Comparator.comparingLong(LoadFact::version)
            .thenComparingInt(LoadFact::waitingPromptTokens)
            .thenComparingInt(LoadFact::running)
            .thenComparingInt(LoadFact::waiting)
            .thenComparingInt(LoadFact::prefillTokensPerSecond)
            .thenComparingInt(LoadFact::slots)
            .thenComparing(LoadFact::loading);

    /**
     * Compares the precedence of two digests of the same upstream, regardless of their age.
     *
     * @param other the other digest
     * @return positive if this one takes precedence, zero if their content is equal
     */
    public int comparePrecedence(LoadFact other) {
        return PRECEDENCE.compare(this, other);
    }
}
