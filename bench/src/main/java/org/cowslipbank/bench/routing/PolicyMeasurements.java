package org.cowslipbank.bench.routing;

import java.util.Arrays;

/** Measurements of one policy, taken after the warm-up. */
final class PolicyMeasurements {
    private double[] firstTokenMillis = new double[1_024];
    private int count;
    private long reusableTokens;
    private long recomputedTokens;
    private long promptTokens;
    private long linkBytes;
    private boolean sorted;

    void addReturningPrompt(double millis) {
        if (count == firstTokenMillis.length) {
            firstTokenMillis = Arrays.copyOf(firstTokenMillis, 2 * count);
        }
        firstTokenMillis[count++] = millis;
        sorted = false;
    }

    void addPromptTokens(long prompt, long reusable, long recomputed) {
        promptTokens += prompt;
        reusableTokens += reusable;
        recomputedTokens += recomputed;
    }

    void setLinkBytes(long bytes) {
        linkBytes = bytes;
    }

    int returningPrompts() {
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

    /** Returns the share of all prompt tokens that an earlier run had computed and that were computed again. */
    double recomputedShare() {
        return promptTokens == 0 ? 0 : recomputedTokens / (double) promptTokens;
    }

    /** Returns the share of all prompt tokens that an earlier run had computed. */
    double reusableShare() {
        return promptTokens == 0 ? 0 : reusableTokens / (double) promptTokens;
    }

    long linkBytes() {
        return linkBytes;
    }
}
