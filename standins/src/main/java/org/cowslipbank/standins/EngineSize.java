package org.cowslipbank.standins;

/**
 * Speed and capacity of an engine stand-in.
 *
 * @param prefillTokensPerSecond prompt tokens computed per second
 * @param stepMillis duration of a batch step in milliseconds; each step generates one token for each running prompt
 * @param slots maximum number of prompts in the batch
 * @param cacheTokens capacity of the engine's prefix cache in prompt tokens
 * @param kvBytesPerToken bytes of block data per prompt token
 * @param weightLoadMillis time to load weights in milliseconds
 * @param reportLagMillis maximum age of a load report, in milliseconds
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
