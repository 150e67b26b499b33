package org.cowslipbank.standins;

/**
 * Speed and size of an engine.
 *
 * @param prefillTokensPerSecond prompt tokens computed a second
 * @param stepMillis time of one batch step in milliseconds; each running prompt gets one token a step
 * @param slots the most prompts in the batch
 * @param cacheTokens prompt tokens that the engine's own cache holds
 * @param kvBytesPerToken bytes of cache data for a prompt token
 * @param weightLoadMillis time to load weights in milliseconds
 * @param reportLagMillis age up to which load reports are stale, in milliseconds
 * @param refusesOldFencingTokens true if orders with an old fencing token are refused
 */
public record EngineSize(
        double prefillTokensPerSecond,
        long stepMillis,
        int slots,
        int cacheTokens,
        int kvBytesPerToken,
        long weightLoadMillis,
        long reportLagMillis,
        boolean refusesOldFencingTokens) {}
