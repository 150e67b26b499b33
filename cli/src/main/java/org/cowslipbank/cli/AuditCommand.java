package org.cowslipbank.cli;

import java.util.List;

import io.netty.handler.codec.http.HttpMethod;
import org.cowslipbank.model.CowslipbankException;

/** Command {@code audit}: prints the complete audit trail, newest change first. */
final class AuditCommand implements Command {
    @Override
    public String name() {
        return "audit";
    }

    @Override
    public String summary() {
        return "print the whole audit trail, newest change first";
    }

    @Override
    public ExitCode run(List<String> arguments, Console console) throws CowslipbankException, UsageException {
        return GetCommand.run(HttpMethod.GET, "/audit", arguments, console);
    }
}
