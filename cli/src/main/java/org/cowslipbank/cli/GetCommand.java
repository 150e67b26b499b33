package org.cowslipbank.cli;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.HttpMethod;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cowslipbank.model.CowslipbankException;

/** Sends a request without a body to the administration interface and prints the response. */
final class GetCommand {
    private GetCommand() {}

    static ExitCode run(HttpMethod method, String path, List<String> arguments, Console console)
            throws CowslipbankException, UsageException {
        OptionParser parser = new OptionParser();
        AdminClient.Connection connection = new AdminClient.Connection(parser);
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        return connection
                .createClient(options.get())
                .call(method, path, Map.of(), "")
                .printTo(console);
    }
}
