package org.cowslipbank.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apache.logging.log4j.LogManager;
import org.cowslipbank.decision.relay.HedgePolicy;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.HeldMemory;
import org.cowslipbank.entry.relay.RelayNode;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.platform.NodeSettingsFile;
import org.cowslipbank.ports.relay.RelaySettings;
import reactor.netty.resources.LoopResources;
import sun.misc.Signal;

/** Command {@code relay}: runs a node on the platform until the process gets a termination signal. */
final class RelayCommand implements Command {
    // The VMs have one core. One event loop handles all connections in one thread, so they need no locks.
    private static final int EVENT_LOOPS = 1;

    @Override
    public String name() {
        return "relay";
    }

    @Override
    public String summary() {
        return "run a node on the platform; SIGTERM drains it and then stops it";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> file = parser.accepts("settings", "The platform's settings file.")
                .withRequiredArg()
                .defaultsTo(Optional.ofNullable(System.getenv(NodeSettingsFile.PATH_VARIABLE))
                        .orElse("/etc/cowslipbank/node.json"));
        OptionSpec<Integer> metricsPort = parser.accepts("metrics-port", "Port of the metrics listener; 0 for none.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        OptionSpec<Integer> hedgePercent = parser.accepts(
                        "hedge-percent",
                        "Requests that may be sent to a second server when their answer is late, in percent of the"
                                + " requests of the same service in 10 s, 0 to " + HedgePolicy.MAX_PERCENT
                                + "; 0 for none.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        OptionSpec<Integer> heldMegabytes = parser.accepts(
                        "held-megabytes",
                        "Megabytes of request bodies and unread answers that the node may hold; 0 for half of the JVM's"
                                + " heap or direct memory, whichever is smaller.")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        OptionSpec<Void> rehearse = parser.accepts(
                "rehearse",
                "Training run for the class-data archive: answer a few requests on an in-process platform and stop.");
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        if (options.get().has(rehearse)) {
            return RelayRehearsal.run() ? ExitCode.DONE : ExitCode.OUTCOME_MISSED;
        }
        Path settingsFile = Path.of(options.get().valueOf(file));
        NodeSettingsFile.Options stated = new NodeSettingsFile.Options(
                number(options.get(), metricsPort),
                hedgePercent(options.get(), hedgePercent),
                heldMegabytes(options.get(), heldMegabytes));
        // Without a handler SIGHUP terminates the JVM; it may arrive while the node starts.
        Signal.handle(new Signal("HUP"), signal -> checkSettingsFile(settingsFile, stated));
        RelayNode node = startNode(NodeSettingsFile.read(settingsFile, stated));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(node, stopped), "shutdown"));
        await(stopped);
        return ExitCode.DONE;
    }

    private static int hedgePercent(OptionSet options, OptionSpec<Integer> option) throws UsageException {
        int percent = number(options, option);
        if (percent < 0 || percent > HedgePolicy.MAX_PERCENT) {
            throw new UsageException("--hedge-percent is " + percent + ", not 0 to " + HedgePolicy.MAX_PERCENT);
        }
        return percent;
    }

    // With a budget above the JVM's memory the node would fail before it closes or rejects anything.
    private static int heldMegabytes(OptionSet options, OptionSpec<Integer> option) throws UsageException {
        int megabytes = number(options, option);
        long mostMegabytes = HeldMemory.availableBytes() / HeldMemory.MEGABYTE_BYTES;
        if (megabytes < 0 || megabytes > mostMegabytes) {
            throw new UsageException("--held-megabytes is " + megabytes + ", not 0 to " + mostMegabytes);
        }
        return megabytes;
    }

    private static int number(OptionSet options, OptionSpec<Integer> option) throws UsageException {
        try {
            return options.valueOf(option);
        } catch (OptionException e) {
            // The parser converts values only when they are asked for.
            throw new UsageException(e.getMessage());
        }
    }

    private static RelayNode startNode(RelaySettings settings) throws CowslipbankException {
        LoopResources loops = LoopResources.create("traffic", EVENT_LOOPS, true);
        RelayNode node = RelayNodeFactory.create(settings, loops);
        node.start();
        return node;
    }

    /** Reads and validates the settings file and logs the result. Changes take effect only at a restart. */
    private static void checkSettingsFile(Path file, NodeSettingsFile.Options stated) {
        // Despite the name of the event the file is only checked; the running node keeps its settings.
        LogFields line = LogFields.event("settings read again").field("file", file);
        try {
            line.field("settings", NodeSettingsFile.read(file, stated));
        } catch (ConfigurationException e) {
            line.error(e);
        }
        LogManager.getLogger(RelayCommand.class).info(line);
    }

    private static void shutDown(RelayNode node, CountDownLatch stopped) {
        try {
            node.shutDown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LogManager.shutdown();
        stopped.countDown();
    }

    private static void await(CountDownLatch stopped) {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
