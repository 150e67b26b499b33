package org.cowslipbank.entry.log;

import java.io.PrintStream;
import java.time.Clock;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.message.ParameterizedMessageFactory;
import org.apache.logging.log4j.spi.ExtendedLogger;
import org.apache.logging.log4j.spi.LoggerContext;
import org.apache.logging.log4j.spi.LoggerRegistry;
import org.apache.logging.log4j.spi.Terminable;

/** The loggers of a node on the platform. Loggers of libraries write warnings and errors only. */
final class JsonLineLoggerContext implements LoggerContext, Terminable {
    private static final String OWN_PACKAGES = "org.cowslipbank";

    private final LoggerRegistry<ExtendedLogger> loggers = new LoggerRegistry<>();
    private final LineWriter writer;

    JsonLineLoggerContext(PrintStream output) {
        this.writer = new LineWriter(output, LineWriter.BUFFERED_LINES);
    }

    @Override
    public Object getExternalContext() {
        return null;
    }

    @Override
    public ExtendedLogger getLogger(String name) {
        return getLogger(name, ParameterizedMessageFactory.INSTANCE);
    }

    @Override
    public ExtendedLogger getLogger(String name, MessageFactory messages) {
        ExtendedLogger known = loggers.getLogger(name, messages);
        if (known != null) {
            return known;
        }
        Level level = name.startsWith(OWN_PACKAGES) ? Level.INFO : Level.WARN;
        loggers.putIfAbsent(name, messages, new JsonLineLogger(name, level, messages, writer, Clock.systemUTC()));
        return loggers.getLogger(name, messages);
    }

    @Override
    public boolean hasLogger(String name) {
        return loggers.hasLogger(name);
    }

    @Override
    public boolean hasLogger(String name, MessageFactory messages) {
        return loggers.hasLogger(name, messages);
    }

    @Override
    public boolean hasLogger(String name, Class<? extends MessageFactory> messagesType) {
        return loggers.hasLogger(name, messagesType);
    }

    /** Writes the buffered lines. */
    @Override
    public void terminate() {
        writer.close();
    }
}
