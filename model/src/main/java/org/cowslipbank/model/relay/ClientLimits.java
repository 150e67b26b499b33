package org.cowslipbank.model.relay;

/**
 * Size limits and timeouts for client requests.
 *
 * @param maxHeaderBytes largest size of a request's head in bytes
 * @param maxBodyBytes largest size of a request's body in bytes
 * @param headerTimeoutMillis time in which a client must send the whole head, in milliseconds
 * @param idleTimeoutMillis time after which a connection without a request is closed, in milliseconds
 */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
