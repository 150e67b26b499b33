package org.cowslipbank.bench.virtual;

import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/**
 * A simulated request with the behaviour of its caller.
 *
 * @param id identifier of the request
 * @param team team of the caller
 * @param fingerprint fingerprint of the content; copies of one request share it
 * @param tokens length of the complete answer in tokens
 * @param streaming true if tokens are relayed as they arrive
 * @param crashAtToken index of the token at which the run crashes its engine, -1 for a harmless request
 * @param readMillis time in milliseconds that the caller needs per token; zero if it reads at once
 * @param leaveAfterTokens number of tokens after which the caller disconnects, -1 if it stays
 * @param patienceMillis longest wait for the first token in milliseconds, zero for no limit
 */
public record SimRequest(
        RequestId id,
        TeamId team,
        long fingerprint,
        int tokens,
        boolean streaming,
        int crashAtToken,
        long readMillis,
        int leaveAfterTokens,
        long patienceMillis) {
    /** Value of {@code crashAtToken} for a request that crashes no engine. */
    public static final int NEVER_CRASHES = -1;

    /** Value of {@code leaveAfterTokens} for a caller that stays connected. */
    public static final int NEVER_LEAVES = -1;

    /** Returns the text of a token. It names request and index, so that misdelivered and misplaced tokens are found. */
    String tokenText(int index, String weightVersion) {
        return id.value() + ":" + index + ":" + weightVersion;
    }
}
