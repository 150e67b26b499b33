package org.cowslipbank.bench.load;

import java.util.List;

/**
 * Result of a load run. Requests and how they ended are counted over the whole run; tokens, latencies, recomputed share
 * and link bytes over the time measured.
 *
 * @param measuredSeconds time measured
 * @param requests requests started
 * @param measuredRequests requests started in the time measured
 * @param answered complete answers
 * @param wrong complete answers with other than the expected text
 * @param refused requests refused as not run
 * @param failed requests with any other end, or none within 15 s of the last arrival
 * @param tokens tokens received
 * @param firstToken time to first token, from the intended start
 * @param betweenTokens time between tokens, over every gap
 * @param recomputedShare share of prompt tokens that were computed
 * @param linkBytes bytes over the stores' links, zero if they are not known
 * @param seconds what happened in each second
 * @param faults faults in the order of their times
 */
public record LoadResult(
        double measuredSeconds,
        long requests,
        long measuredRequests,
        long answered,
        long wrong,
        long refused,
        long failed,
        long tokens,
        Latency firstToken,
        Latency betweenTokens,
        double recomputedShare,
        long linkBytes,
        List<Second> seconds,
        List<FaultMark> faults) {
    /** Copies the lists. */
    public LoadResult {
        seconds = List.copyOf(seconds);
        faults = List.copyOf(faults);
    }

    /**
     * Percentiles in milliseconds.
     *
     * @param p50 median
     * @param p95 95th percentile
     * @param p99 99th percentile
     * @param p999 99.9th percentile
     * @param max largest value
     */
    public record Latency(double p50, double p95, double p99, double p999, double max) {}

    /**
     * One second of the run.
     *
     * @param atSeconds end of the second after the start
     * @param measured false in the warm-up
     * @param answered complete answers
     * @param refusedOrFailed requests without one
     * @param tokens tokens received
     * @param firstTokenP95Millis 95th percentile of time to first token in milliseconds
     * @param betweenTokensP95Millis 95th percentile of time between tokens in milliseconds
     * @param recomputedShare share of prompt tokens that were computed
     * @param linkBytes bytes over the stores' links
     */
    public record Second(
            int atSeconds,
            boolean measured,
            long answered,
            long refusedOrFailed,
            long tokens,
            double firstTokenP95Millis,
            double betweenTokensP95Millis,
            double recomputedShare,
            long linkBytes) {}

    /**
     * A fault.
     *
     * @param atSeconds time after the start
     * @param name what was done
     */
    public record FaultMark(double atSeconds, String name) {}
}
