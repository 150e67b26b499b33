package org.cowslipbank.decision.claims;

/**
 * One entry of a partition's log.
 *
 * @param kind what happened
 * @param key the key
 * @param token token of the call
 * @param fingerprint digest of the request, empty except for a claim
 * @param wallMillis time of the entry in milliseconds since the epoch
 * @param answer the answer of a finish, else null
 */
public record LogEntry(
        Kind kind, ClaimKey key, String token, String fingerprint, long wallMillis, StoredAnswer answer) {
    /** Kinds of entry. */
    public enum Kind {
        /** The call with the token may be sent, if it is the first of its key. */
        CLAIMED,
        /** The granted call has an answer. */
        FINISHED,
        /** The granted call was certainly not sent. */
        RELEASED
    }

    // Serialized overhead of an entry; an upper estimate that keeps a batch below the largest value.
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
        int texts = token.length()
                + fingerprint.length()
                + key.own().length()
                + key.team().value().length();
        return OVERHEAD_BYTES + texts + (answer == null ? 0 : answer.body().length * 4 / 3);
    }
}
