package org.cowslipbank.decision.claims;

/**
 * One entry of a partition's log.
 *
 * @param kind what is recorded
 * @param key the idempotency key
 * @param token token of the call that claims or holds the key
 * @param fingerprint digest of the request, empty except for a claim
 * @param wallMillis time of the entry in milliseconds since the epoch
 * @param answer the answer of a finish, else null
 */
public record LogEntry(
        Kind kind, ClaimKey key, String token, String fingerprint, long wallMillis, StoredAnswer answer) {
    /** Kind of entry. */
    public enum Kind {
        /** The call with the token may be sent if no other claim holds the key. */
        CLAIMED,
        /** The granted call has been answered. */
        FINISHED,
        /** The granted call was certainly not sent. */
        RELEASED
    }

    // Upper bound of an entry's JSON size without its texts and body; keeps a batch below the largest value that the
    // key-value service accepts.
    private static final int OVERHEAD_BYTES = 400;

    static LogEntry of(PartitionRequest request, long wallMillis) {
        if (request instanceof PartitionRequest.Claim claim) {
            return new LogEntry(Kind.CLAIMED, claim.key(), claim.token(), claim.fingerprint(), wallMillis, null);
        }
        if (request instanceof PartitionRequest.Finish finish) {
            return new LogEntry(Kind.FINISHED, finish.key(), finish.token(), "", wallMillis, finish.answer());
        }
        return new LogEntry(Kind.RELEASED, request.key(), request.token(), "", wallMillis, null);
    }

    int estimateBytes() {
        int textBytes = token.length()
                + fingerprint.length()
                + key.own().length()
                + key.team().value().length();
        // The body is written in Base64.
        return OVERHEAD_BYTES + textBytes + (answer == null ? 0 : answer.body().length * 4 / 3);
    }
}
