package org.cowslipbank.cli;

import java.io.PrintStream;

/**
 * Where a command prints.
 *
 * @param out results
 * @param err progress and errors
 */
record Console(PrintStream out, PrintStream err) {}
