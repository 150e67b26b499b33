package org.cowslipbank.config;

/**
 * A wrong value.
 *
 * @param path JSON path of the value, such as {@code $.teams[2].id}
 * @param expected what is wrong and what would be right
 */
record Problem(String path, String expected) {}
