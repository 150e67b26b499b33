package org.cowslipbank.model;

/**
 * Error answer to a caller whose request is refused.
 *
 * @param httpStatus the HTTP status
 * @param type the error's type, such as {@code invalid_request_error}
 * @param code the error's code, such as {@code model_not_found}
 * @param message one human-readable sentence
 * @param runState whether the request is known to have run
 * @param retryAfterMillis time in milliseconds after which the caller should retry, zero if waiting does not help
 */
public record Refusal(
        int httpStatus, String type, String code, String message, RunState runState, long retryAfterMillis) {
    /**
     * Returns a refusal of an invalid request; retrying it unchanged cannot succeed.
     *
     * @param httpStatus the HTTP status, 400 to 499
     * @param code the error's code
     * @param message one human-readable sentence
     * @return the refusal, marked as not run
     */
    public static Refusal invalid(int httpStatus, String code, String message) {
        return new Refusal(httpStatus, "invalid_request_error", code, message, RunState.NOT_RUN, 0);
    }

    /**
     * Returns a refusal of a request that may succeed later.
     *
     * @param httpStatus the HTTP status, 429 or 503
     * @param code the error's code
     * @param message one human-readable sentence
     * @param retryAfterMillis time after which the caller should retry, in milliseconds
     * @return the refusal, marked as not run
     */
    public static Refusal later(int httpStatus, String code, String message, long retryAfterMillis) {
        String type = httpStatus == 429 ? "rate_limit_error" : "overloaded_error";
        return new Refusal(httpStatus, type, code, message, RunState.NOT_RUN, retryAfterMillis);
    }
}
