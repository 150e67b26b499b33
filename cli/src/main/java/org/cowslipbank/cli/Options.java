package org.cowslipbank.cli;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Parses the arguments of a command and adds the option {@code --help}. */
final class Options {
    private final OptionParser parser;

    Options(OptionParser parser) {
        this.parser = parser;
        parser.accepts("help", "Prints this help.").forHelp();
    }

    /** Returns the parsed arguments, or empty after printing help for {@code --help}. */
    Optional<OptionSet> parse(List<String> arguments, Console console) throws UsageException {
        try {
            OptionSet set = parser.parse(arguments.toArray(String[]::new));
            if (set.has("help")) {
                parser.printHelpOn(console.out());
                return Optional.empty();
            }
            return Optional.of(set);
        } catch (OptionException e) {
            throw new UsageException(e.getMessage());
        } catch (IOException e) {
            throw new UsageException("help cannot be printed: " + e.getMessage());
        }
    }
}
