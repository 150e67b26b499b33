package org.cowslipbank.decision.claims;

/** Request to the owner of a partition. The token identifies the call; a node never uses a token twice. */
public sealed interface PartitionRequest {
    /**
     * Returns the idempotency key of the request.
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
     * Claims the key, which gives the call the right to send the request.
     *
     * @param key the idempotency key
     * @param fingerprint digest of the request
     * @param token token of the call
     */
    record Claim(ClaimKey key, String fingerprint, String token) implements PartitionRequest {}

    /**
     * Records the answer to a request whose claim was granted.
     *
     * @param key the idempotency key
     * @param token token of the granted claim
     * @param answer the answer to store
     */
    record Finish(ClaimKey key, String token, StoredAnswer answer) implements PartitionRequest {}

    /**
     * Releases a granted claim whose request was certainly not sent.
     *
     * @param key the idempotency key
     * @param token token of the granted claim
     */
    record Release(ClaimKey key, String token) implements PartitionRequest {}
}
