package org.cowslipbank.cli;

import java.util.List;

import org.cowslipbank.model.CowslipbankException;

/** A subcommand of the command line. */
interface Command {
    /** Returns the name of the command on the command line. */
    String name();

    /** Returns a one-line description for the usage overview. */
    String summary();

    /**
     * Runs the command.
     *
     * @param arguments the arguments after the command's name
     * @param console output streams
     * @return the exit code
     * @throws CowslipbankException if the command fails, for example because a file is invalid or a node is unreachable
     * @throws UsageException if the arguments are wrong
     */
    ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException;
}
