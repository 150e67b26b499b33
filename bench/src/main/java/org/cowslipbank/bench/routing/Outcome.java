package org.cowslipbank.bench.routing;

import java.util.Arrays;

/** Figures of one policy over the measured time. */
final class Outcome {
    private double[] firstTokenMillis = new double[1_024];
    private int count;
    private long knownTokens;
    private long recomputedTokens;
    private long promptTokens;
    private long linkBytes;
    private boolean sorted;

    void addReturning(double millis) {
        if (count == firstTokenMillis.length) {
            firstTokenMillis = Arrays.copyOf(firstTokenMillis, 2 * count);
        }
        firstTokenMillis[count++] = millis;
        sorted = false;
    }

    void addWork(long prompt, long known, long recomputed) {
        promptTokens += prompt;
        knownTokens += known;
        recomputedTokens += recomputed;
    }

    void setLinkBytes(long bytes) {
        linkBytes = bytes;
    }

    int returning() {
        return count;
    }

    double firstTokenMillis(double quantile) {
        if (!sorted) {
            Arrays.sort(firstTokenMillis, 0, count);
            sorted = true;
        }
        return count == 0 ? 0 : firstTokenMillis[Math.min(count - 1, (int) (quantile * count))];
    }

    double p95Millis() {
        return firstTokenMillis(0.95);
    }

    /** Share of all prompt tokens that an earlier run had computed and that were computed again. */
    double recomputedShare() {
        return promptTokens == 0 ? 0 : recomputedTokens / (double) promptTokens;
    }

    /** Share of all prompt tokens that an earlier run had computed. */
    double knownShare() {
        return promptTokens == 0 ? 0 : knownTokens / (double) promptTokens;
    }

    long linkBytes() {
        return linkBytes;
    }
}
