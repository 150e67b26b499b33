package org.cowslipbank.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.PeerException;

/** Entry point of the command line. */
public final class Main {
    private static final List<Command> COMMANDS = List.of(
            new AuditCommand(),
            new BenchCommand(),
            new ConfigCommand(),
            new DemoCommand(),
            new DrainCommand(),
            new ExplainCommand(),
            new NodeCommand(),
            new RelayCommand(),
            new ReplayCommand(),
            new SoakCommand(),
            new StandInCommand(),
            new StatusCommand());

    // Logging is off by default for these commands, whose console output is meant for people.
    private static final Set<String> COMMANDS_WITHOUT_LOGS = Set.of("demo", "bench", "soak");

    private Main() {}

    /**
     * Runs a command and exits with its code.
     *
     * @param arguments the command's name and its arguments
     */
    public static void main(String[] arguments) {
        if (arguments.length > 0 && COMMANDS_WITHOUT_LOGS.contains(arguments[0])) {
            System.setProperty("cowslipbank.log.level", System.getProperty("cowslipbank.log.level", "off"));
        }
        Console console = new Console(System.out, System.err);
        System.exit(run(Arrays.asList(arguments), console).value());
    }

    static ExitCode run(List<String> arguments, Console console) {
        if (arguments.isEmpty() || arguments.get(0).equals("--help")) {
            printOverview(arguments.isEmpty() ? console.err() : console.out());
            return arguments.isEmpty() ? ExitCode.BAD_INPUT : ExitCode.DONE;
        }
        Optional<Command> command = COMMANDS.stream()
                .filter(known -> known.name().equals(arguments.get(0)))
                .findFirst();
        if (command.isEmpty()) {
            console.err().println("unknown command '" + arguments.get(0) + "'; see --help");
            return ExitCode.BAD_INPUT;
        }
        return run(command.get(), arguments.subList(1, arguments.size()), console);
    }

    private static ExitCode run(Command command, List<String> arguments, Console console) {
        try {
            return command.run(arguments, console);
        } catch (UsageException e) {
            console.err().println(command.name() + ": " + e.getMessage() + "; see " + command.name() + " --help");
            return ExitCode.BAD_INPUT;
        } catch (ConfigurationException e) {
            console.err().println(e.getMessage());
            return ExitCode.BAD_INPUT;
        } catch (PeerException e) {
            console.err().println(e.peer() + ": " + e.getMessage());
            return ExitCode.UNREACHABLE;
        } catch (CowslipbankException e) {
            console.err().println(e.getMessage());
            return ExitCode.OUTCOME_MISSED;
        }
    }

    private static void printOverview(PrintStream out) {
        out.println("usage: cowslipbank COMMAND [OPTIONS]");
        COMMANDS.forEach(command -> out.printf("  %-8s %s%n", command.name(), command.summary()));
        out.println("Exit codes: 0 done, 1 a stated outcome missed, 2 bad usage, settings or configuration,");
        out.println("3 unreachable. Each command explains itself with --help.");
    }
}
