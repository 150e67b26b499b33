package org.cowslipbank.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.netty.handler.codec.http.HttpMethod;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslipbank.model.CowslipbankException;

/**
 * Command {@code drain}: drains a node. The node is removed from endpoint lookup answers but keeps serving while callers
 * may still hold an older answer.
 */
final class DrainCommand implements Command {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String summary() {
        return "drain a node, given by its admin address";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> node = parser.nonOptions("NODE: admin address of the node as IP:port.");
        AdminClient.Connection connection = new AdminClient.Connection(parser);
        Optional<OptionSet> options = new Options(parser).parse(arguments, console);
        if (options.isEmpty()) {
            return ExitCode.DONE;
        }
        List<String> nodes = options.get().valuesOf(node);
        if (nodes.size() != 1) {
            throw new UsageException("expected exactly one NODE, the admin address of a node as IP:port");
        }
        List<String> adminArguments = new ArrayList<>(arguments);
        adminArguments.remove(nodes.get(0));
        adminArguments.add("--admin");
        adminArguments.add(nodes.get(0));
        Optional<OptionSet> adminOptions = new Options(parser).parse(adminArguments, console);
        return connection
                .createClient(adminOptions.orElseThrow())
                .call(HttpMethod.POST, "/drain", Map.of(), "")
                .printTo(console);
    }
}
