package org.cowslipbank.bench.load;

import java.util.List;

/**
 * Result of a load run. Requests and their outcomes are counted over the whole run; tokens, latencies, recomputed share
 * and link bytes over the measured time only.
 *
 * @param measuredSeconds length of the measured time in seconds
 * @param requests requests started
 * @param measuredRequests requests started in the measured time
 * @param answered complete answers
 * @param wrong complete answers whose text is not the expected one
 * @param refused requests refused with run state "not run"
 * @param failed requests with any other outcome, or with none within 15 s of the last arrival
 * @param tokens tokens received
 * @param firstToken time to first token, counted from the intended start
 * @param betweenTokens time between consecutive tokens
 * @param recomputedShare share of prompt tokens that no cache served
 * @param linkBytes bytes sent over the links of the stores; zero if unknown
 * @param seconds results of each second
 * @param faults injected faults in order of time
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
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public LoadResult {
        seconds = List.copyOf(seconds);
        faults = List.copyOf(faults);
    }

    /**
     * Percentiles of a latency, in milliseconds.
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
     * @param atSeconds end of this second, in seconds after the start of the run
     * @param measured false during the warm-up and after the measured time
     * @param answered complete answers
     * @param refusedOrFailed requests refused or failed
     * @param tokens tokens received
     * @param firstTokenP95Millis 95th percentile of time to first token in milliseconds
     * @param betweenTokensP95Millis 95th percentile of time between tokens in milliseconds
     * @param recomputedShare share of prompt tokens that no cache served
     * @param linkBytes bytes sent over the links of the stores
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
     * An injected fault.
     *
     * @param atSeconds time in seconds after the start of the run
     * @param name description of the fault
     */
    public record FaultMark(double atSeconds, String name) {}
}
