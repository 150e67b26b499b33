package org.cowslipbank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslipbank.soak.SoakRun;

/** Command {@code soak}: runs nodes as processes on loopback, injects faults from outside and checks the guarantees. */
final class SoakCommand implements Command {
    private static final long SECONDS_PER_MINUTE = 60;

    /** Further limits of {@code deploy/system.toml}. */
    private static final List<String> JVM_LIMITS =
            List.of("-XX:MaxDirectMemorySize=48m", "-Dio.netty.maxDirectMemory=0");

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String summary() {
        return "run nodes as processes, inject faults from outside and check the promises";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws UsageException {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed = parser.accepts("seed", "Decides about faults and requests; random without it.")
                .withRequiredArg()
                .ofType(Long.class);
        OptionSpec<Double> minutes = parser.accepts("minutes", "Time with faults, in minutes.")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(1.0);
        OptionSpec<Integer> nodes = parser.accepts("nodes", "Number of nodes.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(3);
        OptionSpec<Void> calm = parser.accepts(
                "calm", "Instead of faults: silent upstreams, second answers, changes, versions and planned stops.");
        OptionSpec<Void> cache = parser.accepts(
                "cache", "Instead of faults of all kinds: those that concern which cached prompt parts are in use.");
        OptionSpec<Void> streams = parser.accepts(
                "streams",
                "Instead of faults of all kinds: releases of engines, power losses, and clients that take streams up.");
        OptionSpec<Void> releases = parser.accepts(
                "releases",
                "Instead of faults of all kinds: releases of engines while single nodes are out of step, and long prompts.");
        OptionSpec<Void> changes = parser.accepts(
                "changes",
                "Instead of faults of all kinds: routes that are added and dropped while nodes are late to learn of it.");
        OptionSpec<String> otherJar = parser.accepts(
                        "other-jar", "Jar of another build that runs on every second node; restarts change the build.")
                .withRequiredArg();
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        OptionSet parsed = options.get();
        long chosenSeed = parsed.has(seed)
                ? parsed.valueOf(seed)
                : ThreadLocalRandom.current().nextLong(Integer.MAX_VALUE);
        long seconds = (long) (parsed.valueOf(minutes) * SECONDS_PER_MINUTE);
        if (seconds <= 0 || parsed.valueOf(nodes) < 1) {
            throw new UsageException("minutes and nodes must be above zero");
        }
        Map<SoakRun.Kind, OptionSpec<Void>> kinds = Map.of(
                SoakRun.Kind.CALM,
                calm,
                SoakRun.Kind.CACHE,
                cache,
                SoakRun.Kind.STREAMS,
                streams,
                SoakRun.Kind.RELEASES,
                releases,
                SoakRun.Kind.CHANGES,
                changes);
        List<SoakRun.Kind> chosen = kinds.keySet().stream()
                .filter(candidate -> parsed.has(kinds.get(candidate)))
                .toList();
        if (chosen.size() > 1) {
            throw new UsageException("calm, cache, streams, releases and changes exclude each other");
        }
        SoakRun.Kind kind = chosen.isEmpty() ? SoakRun.Kind.FAULTS : chosen.get(0);
        List<List<String>> programs = new ArrayList<>(List.of(program(ownJar())));
        parsed.valuesOf(otherJar).forEach(jar -> programs.add(program(jar)));
        return runSoak(kind, chosenSeed, seconds, parsed.valueOf(nodes), programs, console);
    }

    private static String ownJar() {
        return Path.of(SoakCommand.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .getPath())
                .toString();
    }

    /** Returns the JVM's arguments, with the limits of the deploy file. */
    private static List<String> program(String jar) {
        List<String> arguments = new ArrayList<>(JVM_LIMITS);
        arguments.addAll(List.of("-jar", jar));
        return arguments;
    }

    private static ExitCode runSoak(
            SoakRun.Kind kind, long seed, long seconds, int nodes, List<List<String>> programs, Console console)
            throws UsageException {
        try {
            Path directory = Files.createTempDirectory("cowslipbank-soak-" + seed + "-");
            console.out().println("seed " + seed + ", logs in " + directory);
            SoakRun.Outcome outcome = new SoakRun(
                            new SoakRun.Plan(kind, seed, seconds, nodes, programs, directory), console.err()::println)
                    .run();
            console.out()
                    .printf(
                            "seed %d: %d faults, %d requests, %d served, %d rejected, %.2f served at the end, "
                                    + "%d parts fetched, %d second answers, %d arrivals beside evacuations, "
                                    + "%.2f of the slots in use, %d broken%n",
                            seed,
                            outcome.faults().size(),
                            outcome.sent(),
                            outcome.served(),
                            outcome.rejected(),
                            outcome.servedAtEnd(),
                            outcome.fetches(),
                            outcome.secondAnswers(),
                            outcome.besideEvacuations(),
                            outcome.slotUse(),
                            outcome.violations().size());
            if (kind.isOfStreams()) {
                SoakRun.StreamFigures streams = outcome.streams();
                console.out()
                        .printf(
                                "%d streams, %d whole, %d joined from several software versions; undisturbed: %d of %d new "
                                        + "ones began, %d of %d that were taken up went on%n",
                                streams.streams(),
                                streams.whole(),
                                streams.joined(),
                                streams.begun(),
                                streams.begins(),
                                streams.wentOn(),
                                streams.takenUp());
            }
            outcome.violations().forEach(console.out()::println);
            return outcome.guaranteesHeld() ? ExitCode.DONE : ExitCode.OUTCOME_MISSED;
        } catch (IOException e) {
            throw new UsageException("the soak could not be started: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.OUTCOME_MISSED;
        }
    }
}
