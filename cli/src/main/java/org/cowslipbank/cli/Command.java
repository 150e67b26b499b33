package org.cowslipbank.cli;

import java.util.List;

import org.cowslipbank.model.CowslipbankException;

/** One command of the command line. */
interface Command {
    /** Returns the name by which the command is called. */
    String name();

    /** Returns one line for the overview. */
    String summary();

    /**
     * Runs the command.
     *
     * @param arguments the arguments after the command's name
     * @param console where to print
     * @return the exit code
     * @throws CowslipbankException if the command fails for a reason that the operator can act upon
     * @throws UsageException if the arguments are wrong
     */
    ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException;
}
