package org.cowslipbank.standins;

import java.util.concurrent.atomic.AtomicLong;

/** Event counters of an engine stand-in. */
public final class EngineCounters {
    private final AtomicLong runs = new AtomicLong();
    private final AtomicLong computedPromptTokens = new AtomicLong();
    private final AtomicLong foreignBlocks = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final AtomicLong weightLoads = new AtomicLong();

    /**
     * Returns the number of accepted runs.
     *
     * @return the count
     */
    public long runs() {
        return runs.get();
    }

    /**
     * Returns the number of prompt tokens that were computed rather than read from a cache.
     *
     * @return the count
     */
    public long computedPromptTokens() {
        return computedPromptTokens.get();
    }

    /**
     * Returns the number of imported blocks used for a prompt that they were not computed from. Correct nodes keep it at
     * zero.
     *
     * @return the count
     */
    public long foreignBlocks() {
        return foreignBlocks.get();
    }

    /**
     * Returns the number of crashes caused by prompts.
     *
     * @return the count
     */
    public long crashes() {
        return crashes.get();
    }

    /**
     * Returns the number of runs cancelled by a call or after too long without a listener.
     *
     * @return the count
     */
    public long cancelled() {
        return cancelled.get();
    }

    /**
     * Returns the number of weight loads that orders started.
     *
     * @return the count
     */
    public long weightLoads() {
        return weightLoads.get();
    }

    void addRun(long computedTokens) {
        runs.incrementAndGet();
        computedPromptTokens.addAndGet(computedTokens);
    }

    void addForeignBlock() {
        foreignBlocks.incrementAndGet();
    }

    void addCrash() {
        crashes.incrementAndGet();
    }

    void addCancelled() {
        cancelled.incrementAndGet();
    }

    void addWeightLoad() {
        weightLoads.incrementAndGet();
    }
}
