package org.cowslipbank.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apache.logging.log4j.LogManager;
import org.cowslipbank.adapters.HttpExternalSystems;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.entry.node.Node;
import org.cowslipbank.entry.node.NodeSecrets;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.settings.SettingsParser;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.CowslipbankException;

/** Command {@code node}: runs a node until the process gets a termination signal. */
final class NodeCommand implements Command {
    private static final Duration DRAIN_TIMEOUT = Duration.ofMinutes(5);

    @Override
    public String name() {
        return "node";
    }

    @Override
    public String summary() {
        return "run a node; SIGTERM drains it and then stops it";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> file = parser.accepts("settings", "The settings file, JSON with comments.")
                .withRequiredArg()
                .required();
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        Path settingsFile = Path.of(options.get().valueOf(file));
        NodeSettings settings =
                NodeSettingsChecks.requireComplete(settingsFile, SettingsParser.read(settingsFile, NodeSettings.class));
        // Store addresses come from the configuration; no block is fetched before one is applied.
        Node[] nodeHolder = new Node[1];
        HttpExternalSystems outsideSystems = new HttpExternalSystems(
                settings.platform().keyValueAddress(),
                settings.platform().vmListAddress(),
                store -> nodeHolder[0].storeAddress(store));
        Node node = new Node(settings, outsideSystems, readSecrets(settings));
        nodeHolder[0] = node;
        node.start();
        console.err()
                .println("node " + settings.vm() + " serves callers at " + node.callerAddress() + " and operators at "
                        + node.adminAddress());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(node, outsideSystems, stopped), "shutdown"));
        await(stopped);
        return ExitCode.DONE;
    }

    private static void shutDown(Node node, HttpExternalSystems outsideSystems, CountDownLatch stopped) {
        try {
            node.shutDown(DRAIN_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        outsideSystems.close();
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

    private static NodeSecrets readSecrets(NodeSettings settings) throws ConfigurationException {
        byte[] fleetSecret = readFile(settings.fleetSecretFile());
        Map<String, String> operators = new HashMap<>();
        int lineNumber = 0;
        for (String line : new String(readFile(settings.adminKeysFile()), StandardCharsets.UTF_8).split("\n")) {
            lineNumber++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            int colon = line.indexOf(':');
            if (colon < 1) {
                throw new ConfigurationException(
                        settings.adminKeysFile(), lineNumber, "$", "expected a line of the form name:key");
            }
            operators.put(Configurations.keySha256(line.substring(colon + 1).trim()), line.substring(0, colon));
        }
        return new NodeSecrets(fleetSecret, operators);
    }

    private static byte[] readFile(String file) throws ConfigurationException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new ConfigurationException(file, 0, "$", "the file cannot be read");
        }
    }
}
