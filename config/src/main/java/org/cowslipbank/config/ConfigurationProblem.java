package org.cowslipbank.config;

/**
 * An invalid value found by a check.
 *
 * @param path JSON path of the value, such as {@code $.teams[2].id}
 * @param message what is wrong and what is expected instead
 */
record ConfigurationProblem(String path, String message) {}
