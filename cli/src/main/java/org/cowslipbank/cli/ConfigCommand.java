package org.cowslipbank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.HttpMethod;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationDifference;
import org.cowslipbank.config.ConfigurationParser;
import org.cowslipbank.config.ConfigurationPrinter;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.CowslipbankException;

/** Command {@code config}: checks, applies, shows and compares the configuration. */
final class ConfigCommand implements Command {
    private static final String ACTIONS = "check FILE | apply FILE | show | diff FILE | history";

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String summary() {
        return "check, apply, show and compare the configuration: " + ACTIONS;
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        if (arguments.isEmpty() || arguments.get(0).equals("--help")) {
            console.out().println("usage: config " + ACTIONS + "; each action has --help");
            return arguments.isEmpty() ? ExitCode.BAD_INPUT : ExitCode.DONE;
        }
        List<String> rest = arguments.subList(1, arguments.size());
        return switch (arguments.get(0)) {
            case "check" -> check(rest, console);
            case "apply" -> apply(rest, console);
            case "show" -> GetCommand.run(HttpMethod.GET, "/configuration", rest, console);
            case "diff" -> diff(rest, console);
            case "history" -> GetCommand.run(HttpMethod.GET, "/history", rest, console);
            default -> throw new UsageException("unknown action '" + arguments.get(0) + "'; use " + ACTIONS);
        };
    }

    private static ExitCode check(List<String> arguments, Console console)
            throws ConfigurationException, UsageException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> names = parser.nonOptions("FILE: the configuration, JSON with comments.");
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        String file = singleFile(options.get(), names);
        List<ConfigurationException> problems = ConfigurationParser.check(file, readFile(file));
        problems.forEach(problem -> console.err().println(problem.getMessage()));
        if (!problems.isEmpty()) {
            return ExitCode.BAD_INPUT;
        }
        Configuration configuration = ConfigurationParser.parse(file, readFile(file));
        console.out()
                .println(file + ": " + configuration.teams().size() + " teams, "
                        + configuration.models().size() + " models, "
                        + configuration.upstreams().size() + " upstreams; nothing is wrong");
        return ExitCode.DONE;
    }

    private static ExitCode apply(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> names = parser.nonOptions("FILE: the configuration, JSON with comments.");
        OptionSpec<Long> revision = parser.accepts(
                        "if-match", "The revision that the change is based on; by default the one in force.")
                .withRequiredArg()
                .ofType(Long.class);
        OptionSpec<String> reason = parser.accepts("reason", "Why, for the audit trail.")
                .withRequiredArg()
                .defaultsTo("");
        OptionSpec<String> changeId = parser.accepts("change-id", "Identifier with which to repeat a change safely.")
                .withRequiredArg();
        OptionSpec<String> mayLag = parser.accepts("may-lag", "Data centres that need not apply the change in time.")
                .withRequiredArg();
        AdminClient.Connection connection = new AdminClient.Connection(parser);
        Optional<OptionSet> parsed = new Options(parser).parse(arguments, console);
        if (parsed.isEmpty()) {
            return ExitCode.DONE;
        }
        OptionSet options = parsed.get();
        String file = singleFile(options, names);
        Configuration newConfiguration = ConfigurationParser.parse(file, readFile(file));
        AdminClient client = connection.createClient(options);
        Map<String, String> headers = new HashMap<>();
        headers.put(
                "if-match",
                Long.toString(options.has(revision) ? options.valueOf(revision) : fetchRevisionInForce(client)));
        headers.put("x-change-reason", options.valueOf(reason));
        if (options.has(changeId)) {
            headers.put("x-change-id", options.valueOf(changeId));
        }
        if (options.has(mayLag)) {
            headers.put("x-may-lag", options.valueOf(mayLag));
        }
        return client.call(HttpMethod.PUT, "/configuration", headers, ConfigurationPrinter.print(newConfiguration))
                .printTo(console);
    }

    private static long fetchRevisionInForce(AdminClient client) throws CowslipbankException {
        return client.get("/configuration").json().path("revision").asLong();
    }

    private static ExitCode diff(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> names = parser.nonOptions("FILE: the configuration to compare with the one in force.");
        AdminClient.Connection connection = new AdminClient.Connection(parser);
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        String file = singleFile(options.get(), names);
        Configuration newConfiguration = ConfigurationParser.parse(file, readFile(file));
        AdminClient.Answer answer = connection.createClient(options.get()).get("/configuration");
        if (!answer.isSuccess()) {
            return answer.printTo(console);
        }
        Configuration inForce = ConfigurationParser.parse("in force", answer.text());
        ConfigurationDifference.between(inForce, newConfiguration)
                .forEach(line -> console.out().println(line));
        return ExitCode.DONE;
    }

    private static String singleFile(OptionSet options, OptionSpec<String> names) throws UsageException {
        List<String> files = options.valuesOf(names);
        if (files.size() != 1) {
            throw new UsageException("name one FILE");
        }
        return files.get(0);
    }

    private static String readFile(String file) throws ConfigurationException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new ConfigurationException(file, 0, "$", "the file cannot be read");
        }
    }
}
