package org.cowslipbank.model.relay;

/**
 * What a client may send and how long it may take.
 *
 * @param maxHeaderBytes the most bytes of a request's head
 * @param maxBodyBytes the most bytes of a request's body
 * @param headerTimeoutMillis the longest time to send a head, in milliseconds
 * @param idleTimeoutMillis the longest time that a connection stays open without a request, in milliseconds
 */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
