package org.cowslipbank.bench.load;

/**
 * What one line of a streamed answer means.
 *
 * @param kind the meaning
 * @param text the token's text, or for an error the run state that it states
 * @param promptTokens prompt tokens by the usage
 * @param cachedTokens prompt tokens that were not computed, by the usage
 */
record StreamLine(Kind kind, String text, long promptTokens, long cachedTokens) {
    static final StreamLine OTHER = new StreamLine(Kind.OTHER, "", 0, 0);
    static final StreamLine END = new StreamLine(Kind.END, "", 0, 0);

    enum Kind {
        TOKEN,
        USAGE,
        END,
        ERROR,
        OTHER
    }

    static StreamLine token(String text) {
        return new StreamLine(Kind.TOKEN, text, 0, 0);
    }

    static StreamLine usage(long promptTokens, long cachedTokens) {
        return new StreamLine(Kind.USAGE, "", promptTokens, cachedTokens);
    }

    static StreamLine error(String run) {
        return new StreamLine(Kind.ERROR, run, 0, 0);
    }
}
