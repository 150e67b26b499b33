package org.cowslipbank.standins;

import java.util.concurrent.atomic.AtomicLong;

/** What an engine stand-in has counted. */
public final class EngineCounters {
    private final AtomicLong runs = new AtomicLong();
    private final AtomicLong computedPromptTokens = new AtomicLong();
    private final AtomicLong foreignBlocks = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final AtomicLong weightLoads = new AtomicLong();

    /**
     * Returns the runs accepted.
     *
     * @return the count
     */
    public long runs() {
        return runs.get();
    }

    /**
     * Returns the prompt tokens computed rather than taken from a cache.
     *
     * @return the count
     */
    public long computedPromptTokens() {
        return computedPromptTokens.get();
    }

    /**
     * Returns the imported blocks used for a prompt they were not computed from. Any value but zero breaks a promise.
     *
     * @return the count
     */
    public long foreignBlocks() {
        return foreignBlocks.get();
    }

    /**
     * Returns the crashes caused by prompts.
     *
     * @return the count
     */
    public long crashes() {
        return crashes.get();
    }

    /**
     * Returns the runs cancelled.
     *
     * @return the count
     */
    public long cancelled() {
        return cancelled.get();
    }

    /**
     * Returns the weight loads.
     *
     * @return the count
     */
    public long weightLoads() {
        return weightLoads.get();
    }

    void addRun(long promptTokens) {
        runs.incrementAndGet();
        computedPromptTokens.addAndGet(promptTokens);
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
