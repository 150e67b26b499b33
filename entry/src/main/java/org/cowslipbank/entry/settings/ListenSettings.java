package org.cowslipbank.entry.settings;

/**
 * Where a listener listens.
 *
 * @param host the IP address
 * @param port the port, zero for any
 */
public record ListenSettings(String host, int port) {}
