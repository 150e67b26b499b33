package org.cowslipbank.decision.claims;

import java.util.Arrays;
import java.util.Objects;

/**
 * Answer of a finished request, stored with its claim.
 *
 * @param httpStatus the HTTP status
 * @param contentType the body's content type
 * @param body the body; treated as immutable; empty if it was too large to store
 * @param complete false if the body was too large to store
 */
public record StoredAnswer(int httpStatus, String contentType, byte[] body, boolean complete) {
    /** Largest body that is stored, in bytes. */
    public static final int MAX_BODY_BYTES = 128 * 1024;

    /**
     * Returns the form of an answer that can be stored.
     *
     * @param httpStatus the HTTP status
     * @param contentType the body's content type
     * @param body the body
     * @return the answer, without its body if that is larger than {@link #MAX_BODY_BYTES}
     */
    public static StoredAnswer of(int httpStatus, String contentType, byte[] body) {
        if (body.length > MAX_BODY_BYTES) {
            return new StoredAnswer(httpStatus, contentType, new byte[0], false);
        }
        return new StoredAnswer(httpStatus, contentType, body, true);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredAnswer that
                && httpStatus == that.httpStatus
                && complete == that.complete
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(httpStatus, contentType, complete, Arrays.hashCode(body));
    }
}
