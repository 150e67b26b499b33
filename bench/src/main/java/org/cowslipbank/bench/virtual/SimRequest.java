package org.cowslipbank.bench.virtual;

import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/**
 * A request of a caller.
 *
 * @param id the request
 * @param team its team
 * @param fingerprint its fingerprint; copies of one request have the same
 * @param tokens tokens of the whole answer
 * @param streaming true if tokens are relayed as they arrive
 * @param crashAtToken the token at which it crashes its engine, -1 for a harmless request
 * @param readMillis time that the caller takes to read a token; zero for one that reads at once
 * @param leaveAfterTokens tokens after which the caller disconnects, -1 for one that stays
 * @param patienceMillis longest wait for the first token, zero for none
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
    /** A harmless request. */
    public static final int HARMLESS = -1;

    /** A caller that stays. */
    public static final int STAYS = -1;

    /** Returns the text of a token, which names the request, so that a foreign one is recognised. */
    String text(int index, String weightVersion) {
        return id.value() + ":" + index + ":" + weightVersion;
    }
}
