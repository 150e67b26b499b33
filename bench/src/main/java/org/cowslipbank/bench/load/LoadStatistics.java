package org.cowslipbank.bench.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** Counters and histograms of a run. Many threads record; one thread takes a sample each second. */
final class LoadStatistics {
    private static final long MAX_TRACKED_MICROS = TimeUnit.MINUTES.toMicros(5);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Recorder firstTokens = new Recorder(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
    private final Recorder gaps = new Recorder(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram allFirstTokens = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram allGaps = new Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS);
    private final LongAdder started = new LongAdder();
    private final LongAdder answered = new LongAdder();
    private final LongAdder wrong = new LongAdder();
    private final LongAdder refused = new LongAdder();
    private final LongAdder failed = new LongAdder();
    private final LongAdder promptTokens = new LongAdder();
    private final LongAdder cachedTokens = new LongAdder();
    private Counts lastSampled = new Counts(0, 0, 0, 0, 0, 0, 0);

    void recordStart() {
        started.increment();
    }

    void recordFirstToken(long nanos) {
        firstTokens.recordValue(micros(nanos));
    }

    void recordGap(long nanos) {
        gaps.recordValue(micros(nanos));
    }

    void recordAnswer(boolean correct, long prompt, long cached) {
        answered.increment();
        promptTokens.add(prompt);
        cachedTokens.add(cached);
        if (!correct) {
            wrong.increment();
        }
    }

    void recordRefusal() {
        refused.increment();
    }

    void recordFailure() {
        failed.increment();
    }

    long inFlight() {
        return started.sum() - answered.sum() - refused.sum() - failed.sum();
    }

    /** Returns the counts and latencies since the last sample; a measured sample also enters the total histograms. */
    Sample takeSample(boolean measured) {
        Histogram first = firstTokens.getIntervalHistogram();
        Histogram gap = gaps.getIntervalHistogram();
        if (measured) {
            allFirstTokens.add(first);
            allGaps.add(gap);
        }
        Counts now = counts();
        Counts since = now.minus(lastSampled);
        lastSampled = now;
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
        return Math.min(MAX_TRACKED_MICROS, Math.max(0, TimeUnit.NANOSECONDS.toMicros(nanos)));
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

        /** Returns the share of the prompt tokens of answered requests that no cache served. */
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
