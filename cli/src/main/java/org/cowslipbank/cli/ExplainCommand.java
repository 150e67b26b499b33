package org.cowslipbank.cli;

import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslipbank.model.PeerException;

/** Command {@code explain}: states to which upstream a node would send a request now, and why. */
final class ExplainCommand implements Command {
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final int HTTP_BAD_REQUEST = 400;
    private static final String UPSTREAMS = "upstreams";
    private static final String REASON = "reason";
    private static final String[] COLUMNS = {
        "upstream", "address", "dataCentre", "expectedMillis", "requests", "excluded"
    };

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "state where a node would send a request now, and why";
    }

    /** What the command line states, besides METHOD and PATH. */
    private static final class Arguments {
        private final OptionParser parser = new OptionParser();
        private final OptionSpec<String> request = parser.nonOptions("METHOD PATH: the request.");
        private final OptionSpec<String> metrics = parser.accepts("metrics", "Metrics address of a node as IP:port.")
                .withRequiredArg()
                .defaultsTo("127.0.0.1:9464");
        private final OptionSpec<String> part = text(
                "part",
                "A part of the prompt as ID:TOKENS; once for each part in order. The last one is not shared with other"
                        + " requests.");
        private final OptionSpec<Integer> promptTokens = parser.accepts(
                        "prompt-tokens", "Length of the prompt in tokens; the sum of its parts if not stated.")
                .withRequiredArg()
                .ofType(Integer.class);
        private final OptionSpec<Void> json =
                parser.accepts("json", "Prints the node's answer as it is, instead of a table.");
        private final Map<String, OptionSpec<String>> texts = new LinkedHashMap<>();

        Arguments() {
            texts.put("host", text("host", "The request's host; needed if several hosts have a route for the path."));
            texts.put("team", text("team", "Name of the client's team."));
            texts.put("id", text("id", "The request's id; it decides among equal servers of a plain service."));
            texts.put("model", text("model", "The prompt's model; needed with a prompt."));
            texts.put(
                    "softwareVersion",
                    text("software-version", "Version at which the stream began that the request takes up."));
        }

        private OptionSpec<String> text(String option, String description) {
            return parser.accepts(option, description).withRequiredArg();
        }

        String address(OptionSet options) throws UsageException {
            return value(options, metrics);
        }

        private static <T> T value(OptionSet options, OptionSpec<T> option) throws UsageException {
            try {
                return options.valueOf(option);
            } catch (OptionException e) {
                // The parser converts values, and rejects an option that is stated twice, only when they are asked for.
                throw new UsageException(e.getMessage());
            }
        }

        /** Returns path and query by which the node is asked. */
        String target(OptionSet options) throws UsageException {
            List<String> stated = options.valuesOf(request);
            if (stated.size() != 2
                    || !stated.get(0).matches("[A-Z]+")
                    || !stated.get(1).startsWith("/")) {
                throw new UsageException("expected METHOD in capital letters and PATH with a slash at its beginning");
            }
            Map<String, String> query = new LinkedHashMap<>();
            query.put("method", stated.get(0));
            query.put("path", stated.get(1));
            for (Map.Entry<String, OptionSpec<String>> text : texts.entrySet()) {
                if (options.has(text.getValue())) {
                    query.put(text.getKey(), value(options, text.getValue()));
                }
            }
            addPrompt(options, query);
            return "/explain?"
                    + query.entrySet().stream()
                            .map(entry ->
                                    entry.getKey() + "=" + URLEncoder.encode(entry.getValue(), StandardCharsets.UTF_8))
                            .collect(Collectors.joining("&"));
        }

        private void addPrompt(OptionSet options, Map<String, String> query) throws UsageException {
            List<String> parts = options.valuesOf(part);
            for (String stated : parts) {
                if (!stated.matches("[^:,]+:[0-9]{1,9}")) {
                    throw new UsageException("--part is '" + stated + "', not ID:TOKENS");
                }
            }
            Optional<Integer> tokens = Optional.ofNullable(value(options, promptTokens));
            if (tokens.isPresent() && tokens.get() < 0) {
                throw new UsageException("--prompt-tokens is " + tokens.get() + ", not zero or more");
            }
            if (!query.containsKey("model") && (!parts.isEmpty() || tokens.isPresent())) {
                throw new UsageException("a prompt needs --model");
            }
            if (!parts.isEmpty()) {
                query.put("parts", String.join(",", parts));
            }
            tokens.ifPresent(known -> query.put("promptTokens", Integer.toString(known)));
        }
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws UsageException {
        Arguments accepted = new Arguments();
        Optional<OptionSet> options = new Options(accepted.parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        String address = accepted.address(options.get());
        String target = accepted.target(options.get());
        AdminClient.Answer answer;
        try {
            answer = AdminClient.call(HttpMethod.GET, address, target, Map.of(), "", DEADLINE);
        } catch (PeerException e) {
            console.err().println(address + ": " + e.getMessage());
            return ExitCode.OUTCOME_MISSED;
        }
        if (!answer.isSuccess()) {
            console.err().println(address + ": " + answer.errorMessage());
            return answer.status() == HTTP_BAD_REQUEST ? ExitCode.BAD_INPUT : ExitCode.OUTCOME_MISSED;
        }
        JsonNode explanation = answer.json();
        if (!explanation.has(UPSTREAMS) && !explanation.has(REASON)) {
            // An earlier build answers every path of the metrics listener with its metrics.
            console.err().println(address + ": the answer is no explanation; the node may have an earlier build");
            return ExitCode.OUTCOME_MISSED;
        }
        if (options.get().has(accepted.json)) {
            console.out().println(answer.text());
        } else {
            print(explanation, console.out());
        }
        return ExitCode.DONE;
    }

    private static void print(JsonNode explanation, PrintStream out) {
        for (String field : List.of("route", "service", "team", "priority", "waiting", REASON, "passedTo")) {
            if (explanation.has(field)) {
                printLine(out, field, explanation.path(field).asText());
            }
        }
        if (!explanation.path("configurationConfirmed").asBoolean()) {
            printLine(out, "note", "the node's configuration is not confirmed and may be out of date");
        }
        if (explanation.has("choice")) {
            printLine(out, "choice", choice(explanation.path("choice")));
        }
        if (explanation.has("waitsFor")) {
            StringJoiner reasons = new StringJoiner(", ");
            explanation.path("waitsFor").forEach(reason -> reasons.add(reason.asText()));
            printLine(out, "waitsFor", reasons.toString());
        }
        if (explanation.has("pauseLeftMillis")) {
            printLine(out, "pause", explanation.path("pauseLeftMillis").asText() + " ms left");
        }
        if (explanation.has(UPSTREAMS)) {
            out.println();
            printTable(explanation.path(UPSTREAMS), out);
        }
    }

    private static void printLine(PrintStream out, String name, String value) {
        out.printf("%-9s %s%n", name, value);
    }

    private static String choice(JsonNode choice) {
        StringBuilder text = new StringBuilder(choice.path("upstream").asText());
        for (Map.Entry<String, JsonNode> field : choice.properties()) {
            if (!field.getKey().equals("upstream")) {
                text.append(", ")
                        .append(field.getKey())
                        .append(' ')
                        .append(field.getValue().asText());
            }
        }
        return text.toString();
    }

    private static void printTable(JsonNode upstreams, PrintStream out) {
        List<String[]> rows = new ArrayList<>();
        rows.add(COLUMNS);
        for (JsonNode upstream : upstreams) {
            String[] row = new String[COLUMNS.length];
            for (int column = 0; column < COLUMNS.length; column++) {
                row[column] = upstream.path(COLUMNS[column]).asText("-");
                row[column] = row[column].isEmpty() ? "-" : row[column];
            }
            rows.add(row);
        }
        int[] widths = new int[COLUMNS.length];
        for (String[] row : rows) {
            for (int column = 0; column < COLUMNS.length; column++) {
                widths[column] = Math.max(widths[column], row[column].length());
            }
        }
        for (String[] row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < COLUMNS.length; column++) {
                line.append(String.format("%-" + (widths[column] + 2) + "s", row[column]));
            }
            out.println(line.toString().stripTrailing());
        }
    }
}
