package org.cowslipbank.bench.load;

/**
 * Parsed line of a streamed answer.
 *
 * @param kind kind of the line
 * @param text text of a token, or the run state of an error; empty for other kinds
 * @param promptTokens prompt tokens according to a usage line
 * @param cachedTokens prompt tokens served from a cache, according to a usage line
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

    static StreamLine error(String runState) {
        return new StreamLine(Kind.ERROR, runState, 0, 0);
    }
}
