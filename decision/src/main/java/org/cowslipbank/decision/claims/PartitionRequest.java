package org.cowslipbank.decision.claims;

/** A request to the owner of a partition. The token identifies the call that asks; a node never uses one twice. */
public sealed interface PartitionRequest {
    /**
     * Returns the idempotency key.
     *
     * @return the key
     */
    ClaimKey key();

    /**
     * Returns the token of the call.
     *
     * @return the token
     */
    String token();

    /**
     * Asks for the right to send the request.
     *
     * @param key the key
     * @param fingerprint digest of the request
     * @param token the call's token
     */
    record Claim(ClaimKey key, String fingerprint, String token) implements PartitionRequest {}

    /**
     * Records the answer of a request that was granted.
     *
     * @param key the key
     * @param token the token under which it was granted
     * @param answer the answer
     */
    record Finish(ClaimKey key, String token, StoredAnswer answer) implements PartitionRequest {}

    /**
     * Gives a claim back whose request was certainly not sent.
     *
     * @param key the key
     * @param token the token under which it was granted
     */
    record Release(ClaimKey key, String token) implements PartitionRequest {}
}
