package org.cowslipbank.ports.relay;

/**
 * A header line.
 *
 * @param name its name as sent
 * @param value its value
 */
public record Header(String name, String value) {}
