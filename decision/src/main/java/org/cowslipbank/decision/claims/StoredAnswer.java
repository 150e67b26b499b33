package org.cowslipbank.decision.claims;

import java.util.Arrays;
import java.util.Objects;

/**
 * Answer to a finished request, stored with its claim so that a repeated call gets the same answer.
 *
 * @param httpStatus the HTTP status
 * @param contentType the body's content type
 * @param body the body, empty if it was too large to store; must not be modified
 * @param complete false if the body was too large to store
 */
public record StoredAnswer(int httpStatus, String contentType, byte[] body, boolean complete) {
    /** Size of the largest body that is stored, in bytes. */
    public static final int MAX_BODY_BYTES = 128 * 1024;

    /**
     * Returns an answer in the form in which it is stored.
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
