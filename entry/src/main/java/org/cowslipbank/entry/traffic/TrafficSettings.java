package org.cowslipbank.entry.traffic;

/**
 * Settings of traffic handling.
 *
 * @param pieceBytes length in bytes of the pieces into which prompts are split
 * @param engineCacheMillis time for which an engine is expected to hold the blocks of a finished prompt in its own
 *     cache, in milliseconds
 */
public record TrafficSettings(int pieceBytes, long engineCacheMillis) {}
