package org.cowslipbank.cli;

import java.util.List;

import io.netty.handler.codec.http.HttpMethod;
import org.cowslipbank.model.CowslipbankException;

/** Command {@code status}: prints a node's view of the fleet, upstreams and stores, and its counters. */
final class StatusCommand implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "print what a node knows: fleet, upstreams, stores, counters";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        return GetCommand.run(HttpMethod.GET, "/status", arguments, console);
    }
}
