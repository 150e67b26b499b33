package org.cowslipbank.entry.log;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.message.Message;
import org.apache.logging.log4j.message.MessageFactory;
import org.apache.logging.log4j.simple.SimpleLogger;
import org.apache.logging.log4j.util.PropertiesUtil;

/** Logger that writes each event as one line of JSON; the fields of a {@link LogFields} become a nested object. */
final class JsonLineLogger extends SimpleLogger {
    private static final long serialVersionUID = 1L;

    private static final String[] JSON_FORMAT = {"JSON"};
    private static final int FRACTION_DIGITS = 3;
    private static final DateTimeFormatter TIME_FORMAT =
            new DateTimeFormatterBuilder().appendInstant(FRACTION_DIGITS).toFormatter();

    private final transient LineWriter writer;
    private final transient Clock clock;

    JsonLineLogger(String name, Level level, MessageFactory messages, LineWriter writer, Clock clock) {
        super(name, level, true, false, false, false, "", messages, PropertiesUtil.getProperties(), System.out);
        // SimpleLogger takes its level from a property if that is set; the level given here applies.
        setLevel(level);
        this.writer = writer;
        this.clock = clock;
    }

    @Override
    public void logMessage(String caller, Level level, Marker marker, Message message, Throwable error) {
        long dropped = writer.takeDropped();
        if (dropped > 0) {
            write(
                    Level.WARN,
                    LogFields.event("log lines dropped; the output is slow").field("lines", dropped),
                    null);
        }
        write(level, message, error);
    }

    private void write(Level level, Message message, Throwable error) {
        StringBuilder line = new StringBuilder("{\"time\":\"");
        TIME_FORMAT.formatTo(clock.instant(), line);
        line.append("\",\"level\":\"").append(level.name()).append("\",\"logger\":");
        appendText(line, getName());
        line.append(",\"event\":");
        if (message instanceof LogFields fields) {
            line.append(fields.getFormattedMessage(JSON_FORMAT));
        } else {
            appendText(line, message.getFormattedMessage());
        }
        if (error != null) {
            line.append(",\"error\":");
            appendText(line, error.toString());
        }
        line.append("}\n");
        writer.write(line.toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void appendText(StringBuilder line, String text) {
        line.append('"')
                .append(JsonStringEncoder.getInstance().quoteAsString(text))
                .append('"');
    }
}
