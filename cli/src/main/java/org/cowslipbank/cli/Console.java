package org.cowslipbank.cli;

import java.io.PrintStream;

/**
 * Output streams of a command.
 *
 * @param out stream for results
 * @param err stream for progress and errors
 */
record Console(PrintStream out, PrintStream err) {}
