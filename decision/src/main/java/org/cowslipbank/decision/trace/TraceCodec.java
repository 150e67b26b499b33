package org.cowslipbank.decision.trace;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;

/** Converts between trace records and the JSON lines of a trace file. The caller opens and closes the file. */
public final class TraceCodec {
    private TraceCodec() {}

    /**
     * Reads the lines of a trace. Blank lines and lines that start with {@code //} are skipped.
     *
     * @param lines the lines of the file
     * @return the records in order
     * @throws IOException if a line is not a record; the message contains the line number
     */
    public static List<TraceRecord> read(List<String> lines) throws IOException {
        List<TraceRecord> records = new ArrayList<>();
        int number = 0;
        for (String line : lines) {
            number++;
            if (!line.isBlank() && !line.startsWith("//")) {
                records.add(read(line, number));
            }
        }
        return List.copyOf(records);
    }

    private static TraceRecord read(String line, int number) throws IOException {
        try {
            TraceRecord trace = TraceJson.mapper().readValue(line, TraceRecord.class);
            if (trace.kind() == null || trace.input() == null) {
                throw new IOException("line " + number + ": a trace record requires kind and input");
            }
            return trace;
        } catch (JsonProcessingException e) {
            throw new IOException("line " + number + ": " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Creates the record of a decision.
     *
     * @param <I> the input's type
     * @param <O> the outcome's type
     * @param decision the decision
     * @param input the input
     * @param outcome the outcome
     * @param stamp position and time of the record
     * @return the record
     * @throws IOException if input or outcome cannot be written as JSON, which is a programming error
     */
    public static <I, O> TraceRecord decisionRecord(Decision<I, O> decision, I input, O outcome, Stamp stamp)
            throws IOException {
        return record(decision.kind(), stamp, input, outcome);
    }

    /**
     * Creates a record that states how many lines were dropped.
     *
     * @param lines the number of dropped lines
     * @param stamp position and time of the record
     * @return the record
     * @throws IOException if the record cannot be written as JSON, which is a programming error
     */
    public static TraceRecord droppedRecord(long lines, Stamp stamp) throws IOException {
        return record(TraceRecord.DROPPED, stamp, new TraceRecord.Dropped(lines), null);
    }

    /**
     * Serializes a record as one line.
     *
     * @param trace the record
     * @return the line in UTF-8 with a line feed at the end
     * @throws IOException if the record cannot be written as JSON, which is a programming error
     */
    public static byte[] toLine(TraceRecord trace) throws IOException {
        return (TraceJson.mapper().writeValueAsString(trace) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Creates the record of an event.
     *
     * @param event the event, a {@link org.cowslipbank.decision.trace.invariant.TraceEvent}
     * @param stamp position and time of the record
     * @return the record
     * @throws IOException if the event cannot be written as JSON, which is a programming error
     */
    public static TraceRecord event(Object event, Stamp stamp) throws IOException {
        return record(TraceRecord.EVENT, stamp, event, null);
    }

    /**
     * Converts the input of a record to its type.
     *
     * @param <T> the input's type
     * @param trace the record
     * @param type the input's class
     * @return the input
     * @throws IOException if the input does not match the type; the message contains the sequence number
     */
    public static <T> T readInput(TraceRecord trace, Class<T> type) throws IOException {
        try {
            return TraceJson.mapper().treeToValue(trace.input(), type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new IOException(
                    "sequence " + trace.sequence() + ": cannot read input as " + type.getSimpleName() + ": "
                            + e.getMessage(),
                    e);
        }
    }

    static TraceRecord record(String kind, Stamp stamp, Object input, Object outcome) throws IOException {
        return new TraceRecord(
                kind,
                stamp.sequence(),
                stamp.timeMillis(),
                stamp.configurationRevision(),
                stamp.seed(),
                TraceJson.toTree(input),
                outcome == null ? null : TraceJson.toTree(outcome));
    }

    /**
     * Position and time of a line.
     *
     * @param sequence position in the trace
     * @param timeMillis the time in milliseconds
     * @param configurationRevision revision of the configuration in force at that time
     * @param seed seed of the run
     */
    public record Stamp(long sequence, long timeMillis, long configurationRevision, long seed) {}
}
