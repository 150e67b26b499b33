package org.cowslipbank.decision.admission;

/**
 * Immutable token bucket.
 *
 * @param tokens number of tokens at the given time
 * @param atMillis the time in milliseconds
 */
record TokenBucket(double tokens, long atMillis) {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    TokenBucket refilled(double perSecond, double burst, long nowMillis) {
        double added = Math.max(0, nowMillis - atMillis) * perSecond / MILLIS_PER_SECOND;
        return new TokenBucket(Math.min(burst, tokens + added), Math.max(atMillis, nowMillis));
    }

    TokenBucket minus(double used) {
        return new TokenBucket(tokens - used, atMillis);
    }

    long millisUntil(double wanted, double perSecond) {
        if (tokens >= wanted) {
            return 0;
        }
        return perSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil((wanted - tokens) * MILLIS_PER_SECOND / perSecond);
    }
}
