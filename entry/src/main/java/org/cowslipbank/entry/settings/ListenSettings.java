package org.cowslipbank.entry.settings;

/**
 * Address on which a listener is bound.
 *
 * @param host IP address to bind
 * @param port TCP port, zero for any free one
 */
public record ListenSettings(String host, int port) {}
