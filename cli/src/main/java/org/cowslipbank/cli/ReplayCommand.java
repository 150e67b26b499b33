package org.cowslipbank.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslipbank.entry.trace.TraceReplay;

/** Command {@code replay}: replays recorded decisions and compares the outcomes with the recorded ones. */
final class ReplayCommand implements Command {
    @Override
    public String name() {
        return "replay";
    }

    @Override
    public String summary() {
        return "replay recorded decisions and compare them with their stated outcomes";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws UsageException {
        OptionParser parser = new OptionParser();
        parser.accepts("invariants", "Also run the invariant checkers over the traces.");
        OptionSpec<String> names = parser.nonOptions("FILE...: traces to replay.");
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        List<Path> files = options.get().valuesOf(names).stream().map(Path::of).toList();
        if (files.isEmpty()) {
            throw new UsageException("name at least one FILE");
        }
        int code = TraceReplay.run(files, options.get().has("invariants"), console.out());
        return switch (code) {
            case 0 -> ExitCode.DONE;
            case 1 -> ExitCode.OUTCOME_MISSED;
            default -> ExitCode.BAD_INPUT;
        };
    }
}
