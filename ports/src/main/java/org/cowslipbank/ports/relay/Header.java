package org.cowslipbank.ports.relay;

/**
 * One HTTP header line.
 *
 * @param name the name as sent
 * @param value the value
 */
public record Header(String name, String value) {}
