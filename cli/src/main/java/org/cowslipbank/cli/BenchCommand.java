package org.cowslipbank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchRegistry;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;

/** Command {@code bench}: runs experiments and compares their figures with the stated bounds. */
final class BenchCommand implements Command {
    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String summary() {
        return "run an experiment and compare its figures with their bounds";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws UsageException {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed = parser.accepts("seed", "Seed of every random source.")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        parser.accepts("json", "Print one JSON object as the last line.");
        OptionSpec<String> names = parser.nonOptions("Names of experiments, or 'all'. Known: " + knownNames());
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        List<BenchReport> reports = new ArrayList<>();
        for (Bench bench : selectBenches(options.get().valuesOf(names))) {
            reports.add(runBench(bench, options.get().valueOf(seed), console));
        }
        if (options.get().has("json")) {
            console.out().println(toJson(reports));
        }
        return reports.stream().allMatch(BenchReport::allBoundsMet) ? ExitCode.DONE : ExitCode.OUTCOME_MISSED;
    }

    private static String knownNames() {
        return String.join(", ", BenchRegistry.all().stream().map(Bench::name).toList());
    }

    private static List<Bench> selectBenches(List<String> names) throws UsageException {
        if (names.equals(List.of("all"))) {
            return BenchRegistry.all();
        }
        if (names.isEmpty()) {
            throw new UsageException("name an experiment: " + knownNames());
        }
        List<Bench> benches = new ArrayList<>();
        for (String name : names) {
            benches.add(BenchRegistry.find(name)
                    .orElseThrow(() -> new UsageException("unknown experiment '" + name + "'")));
        }
        return benches;
    }

    private static BenchReport runBench(Bench bench, long seed, Console console) throws UsageException {
        try {
            BenchReport report =
                    bench.run(new BenchOptions(seed, line -> console.err().println(line)));
            printReport(report, console);
            return report;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new UsageException("experiment '" + bench.name() + "' was interrupted");
        } catch (Exception e) {
            // An experiment can throw any exception; report the experiment and the cause.
            throw new UsageException("experiment '" + bench.name() + "' could not be run: " + e);
        }
    }

    private static void printReport(BenchReport report, Console console) {
        console.out().println(report.bench() + " (seed " + report.seed() + ")");
        for (Figure figure : report.figures()) {
            String bound =
                    switch (figure.relation()) {
                        case AT_MOST -> String.format(Locale.ROOT, "<= %.4g", figure.bound());
                        case AT_LEAST -> String.format(Locale.ROOT, ">= %.4g", figure.bound());
                        case NONE -> "";
                    };
            String verdict = figure.relation() == Figure.Relation.NONE ? "" : figure.meetsBound() ? "held" : "MISSED";
            console.out()
                    .printf(Locale.ROOT, "  %-60s %14.5g  %-14s %s%n", figure.name(), figure.value(), bound, verdict);
        }
    }

    private static ObjectNode toJson(List<BenchReport> reports) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("held", reports.stream().allMatch(BenchReport::allBoundsMet));
        for (BenchReport report : reports) {
            ObjectNode bench = root.putObject(report.bench());
            bench.put("seed", report.seed());
            bench.put("held", report.allBoundsMet());
            ObjectNode figures = bench.putObject("figures");
            report.figures().forEach(figure -> addFigure(figures, figure));
        }
        return root;
    }

    private static void addFigure(ObjectNode figures, Figure figure) {
        ObjectNode node = figures.putObject(figure.name());
        node.put("value", figure.value());
        if (figure.relation() == Figure.Relation.NONE) {
            return;
        }
        node.put("relation", figure.relation() == Figure.Relation.AT_MOST ? "at_most" : "at_least");
        node.put("bound", figure.bound());
        node.put("held", figure.meetsBound());
    }
}
