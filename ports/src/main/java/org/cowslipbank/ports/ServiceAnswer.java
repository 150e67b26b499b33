package org.cowslipbank.ports;

/**
 * Answer of a plain service.
 *
 * @param httpStatus the HTTP status
 * @param contentType the body's content type
 * @param body the body; treated as immutable
 */
public record ServiceAnswer(int httpStatus, String contentType, byte[] body) {}
