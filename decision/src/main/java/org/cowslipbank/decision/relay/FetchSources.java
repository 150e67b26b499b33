package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.cowslipbank.model.relay.EngineTraits;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Chooses the engine from which another one fetches a shared part that no store has. Sources in the data centre of the engine
 * that fetches come first: transfers between data centres take twice as long, and their bytes cost the operators money.
 */
public final class FetchSources {
    /** Ratio of the time of a transfer between data centres to that of one within a data centre. */
    private static final double FAR_TRANSFER_RATIO = 2;

    /** Cost of computing, in fetches between data centres, above which one is started; stands for the price of its bytes. */
    private static final double FAR_COST_RATIO = 2;

    /** Cost per token of computing a part again: its time, and the delay of the other requests at the engine. */
    private static final double COMPUTE_MILLIS_PER_TOKEN =
            1 / UpstreamSelector.PREFILL_TOKENS_PER_MILLI + UpstreamSelector.RECOMPUTE_PENALTY_MILLIS_PER_TOKEN;

    /** Shared tokens from which on a part is fetched from an engine. */
    static final int MIN_FETCHED_TOKENS = 1_000;

    private static final double BITS_PER_BYTE = 8;

    /** Bits per millisecond at one megabit per second. */
    private static final double BITS_PER_MILLI_AT_ONE_MBIT = 1_000;

    private FetchSources() {}

    /**
     * Returns whether a part of this length is fetched from engines. An unreachable source costs some hundred milliseconds, so
     * that a part which is computed in less than 16 ms is not worth it.
     *
     * @param sharedTokens tokens of the shared parts
     * @return true for parts of at least 1,000 tokens
     */
    public static boolean isWorthFetching(int sharedTokens) {
        return sharedTokens >= MIN_FETCHED_TOKENS;
    }

    /**
     * Chooses the source: one in the same data centre if there is any, and of those the one with the fewest requests.
     *
     * @param target the engine that fetches
     * @param holders engines that probably hold the part under the target's cache scope and can be reached
     * @param traits properties of the service's engines
     * @param requestsAt requests in flight at an engine
     * @return the source, or empty if computing the part again costs less
     */
    public static Optional<UpstreamServer> choose(
            UpstreamServer target,
            Collection<UpstreamServer> holders,
            EngineTraits traits,
            ToIntFunction<UpstreamServer> requestsAt) {
        return holders.stream()
                .filter(holder -> !holder.address().equals(target.address()))
                .filter(holder -> mayFetch(isNear(holder, target), traits))
                .min(Comparator.comparing((UpstreamServer holder) -> !isNear(holder, target))
                        .thenComparingInt(requestsAt)
                        .thenComparing(UpstreamServer::id));
    }

    private static boolean isNear(UpstreamServer holder, UpstreamServer target) {
        return holder.dataCentre().equals(target.dataCentre());
    }

    private static boolean mayFetch(boolean near, EngineTraits traits) {
        double fetchMillisPerToken = fetchMillisPerToken(traits);
        return COMPUTE_MILLIS_PER_TOKEN
                > (near ? fetchMillisPerToken : FAR_COST_RATIO * FAR_TRANSFER_RATIO * fetchMillisPerToken);
    }

    private static double fetchMillisPerToken(EngineTraits traits) {
        return traits.linkMbitPerSecond() > 0 && traits.bytesPerToken() > 0
                ? traits.bytesPerToken() * BITS_PER_BYTE / (traits.linkMbitPerSecond() * BITS_PER_MILLI_AT_ONE_MBIT)
                : 1 / UpstreamSelector.FETCH_TOKENS_PER_MILLI;
    }
}
