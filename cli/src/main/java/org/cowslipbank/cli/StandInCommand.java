package org.cowslipbank.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslipbank.entry.settings.SettingsParser;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.standins.StandInSet;
import org.cowslipbank.standins.StandInSettings;

/** Command {@code standin}: runs stand-ins for the outside systems until the process gets a termination signal. */
final class StandInCommand implements Command {
    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String summary() {
        return "run stand-ins for the platform, engines, stores and plain services";
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
        StandInSet standIns =
                new StandInSet(SettingsParser.read(Path.of(options.get().valueOf(file)), StandInSettings.class));
        console.err()
                .println("stand-ins run: key-value service at "
                        + standIns.keyValue().address() + ", VM list at "
                        + standIns.vmList().address());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            standIns.close();
                            stopped.countDown();
                        },
                        "shutdown"));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.DONE;
    }
}
