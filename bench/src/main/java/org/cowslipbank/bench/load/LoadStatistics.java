package org.cowslipbank.bench.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** Counts and histograms of a run, recorded by many threads and sampled once a second by one. */
final class LoadStatistics {
    private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final int DIGITS = 3;

    private final Recorder firstTokens = new Recorder(HIGHEST_MICROS, DIGITS);
    private final Recorder gaps = new Recorder(HIGHEST_MICROS, DIGITS);
    private final Histogram allFirstTokens = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Histogram allGaps = new Histogram(HIGHEST_MICROS, DIGITS);
    private final LongAdder started = new LongAdder();
    private final LongAdder answered = new LongAdder();
    private final LongAdder wrong = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder promptTokens = new LongAdder();
    private final LongAdder cachedTokens = new LongAdder();
    private Counts sampled = new Counts(0, 0, 0, 0, 0, 0, 0);

    void started() {
        started.increment();
    }

    void firstToken(long nanos) {
        firstTokens.recordValue(micros(nanos));
    }

    void gap(long nanos) {
        gaps.recordValue(micros(nanos));
    }

    void answered(boolean right, long prompt, long cached) {
        answered.increment();
        promptTokens.add(prompt);
        cachedTokens.add(cached);
        if (!right) {
            wrong.increment();
        }
    }

    void refused() {
        refused.increment();
    }

    void failed() {
        failed.increment();
    }

    long inFlight() {
        return started.sum() - answered.sum() - refused.sum() - failed.sum();
    }

    /** Returns what happened since the last sample and adds it to the totals if it counts. */
    Sample sample(boolean counts) {
        Histogram first = firstTokens.getIntervalHistogram();
        Histogram gap = gaps.getIntervalHistogram();
        if (counts) {
            allFirstTokens.add(first);
            allGaps.add(gap);
        }
        Counts now = counts();
        Counts since = now.minus(sampled);
        sampled = now;
        return new Sample(since, first, gap);
    }

    Counts counts() {
        return new Counts(
                started.sum(),
                answered.sum(),
                wrong.sum(),
                refused.sum(),
                failed.sum(),
                promptTokens.sum(),
                cachedTokens.sum());
    }

    Histogram firstTokens() {
        return allFirstTokens;
    }

    Histogram gaps() {
        return allGaps;
    }

    private static long micros(long nanos) {
        return Math.min(HIGHEST_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
    }

    record Counts(
            long started, long answered, long wrong, long refused, long failed, long promptTokens, long cachedTokens) {
        Counts minus(Counts other) {
            return new Counts(
                    started - other.started,
                    answered - other.answered,
                    wrong - other.wrong,
                    refused - other.refused,
                    failed - other.failed,
                    promptTokens - other.promptTokens,
                    cachedTokens - other.cachedTokens);
        }

        Counts plus(Counts other) {
            return minus(new Counts(0, 0, 0, 0, 0, 0, 0).minus(other));
        }

        /** Share of the prompt tokens of answered requests that were computed. */
        double recomputedShare() {
            return promptTokens == 0 ? 0 : 1 - (double) cachedTokens / promptTokens;
        }
    }

    record Sample(Counts counts, Histogram firstTokens, Histogram gaps) {
        long tokens() {
            return firstTokens.getTotalCount() + gaps.getTotalCount();
        }
    }
}
