package org.cowslipbank.decision.trace;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;

/** Reads and writes the lines of traces. The caller opens and closes the files. */
public final class TraceFiles {
    private TraceFiles() {}

    /**
     * Reads the lines of a trace. Blank lines and lines that start with {@code //} are skipped.
     *
     * @param lines the lines
     * @return the records in order
     * @throws IOException if a line is not a record; the message holds the line's number
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
                throw new IOException("line " + number + ": kind and input are required");
            }
            return trace;
        } catch (JsonProcessingException e) {
            throw new IOException("line " + number + ": " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Returns the record of a decision.
     *
     * @param <I> the input's type
     * @param <O> the outcome's type
     * @param decision the decision
     * @param input the input
     * @param outcome the outcome
     * @param stamp where and when it was taken
     * @return the record
     * @throws IOException if input or outcome cannot be written as JSON, which is a programming error
     */
    public static <I, O> TraceRecord decision(Decision<I, O> decision, I input, O outcome, Stamp stamp)
            throws IOException {
        return record(decision.kind(), stamp, input, outcome);
    }

    /**
     * Returns the record of lines that were dropped.
     *
     * @param lines the number of lines
     * @param stamp where and when they were dropped
     * @return the record
     * @throws IOException if the record cannot be written as JSON, which is a programming error
     */
    public static TraceRecord dropped(long lines, Stamp stamp) throws IOException {
        return record(TraceRecord.DROPPED, stamp, new TraceRecord.Dropped(lines), null);
    }

    /**
     * Returns a record as one line.
     *
     * @param trace the record
     * @return the line's UTF-8 bytes with its line end
     * @throws IOException if the record cannot be written as JSON, which is a programming error
     */
    public static byte[] line(TraceRecord trace) throws IOException {
        return (TraceJson.mapper().writeValueAsString(trace) + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the record of a fact.
     *
     * @param fact the fact
     * @param stamp where and when it was recorded
     * @return the record
     * @throws IOException if the fact cannot be written as JSON, which is a programming error
     */
    public static TraceRecord fact(Object fact, Stamp stamp) throws IOException {
        return record(TraceRecord.FACT, stamp, fact, null);
    }

    /**
     * Reads the input of a record.
     *
     * @param <T> the input's type
     * @param trace the record
     * @param type the input's class
     * @return the input
     * @throws IOException if the record's input is of another type; the message holds the sequence number
     */
    public static <T> T input(TraceRecord trace, Class<T> type) throws IOException {
        try {
            return TraceJson.mapper().treeToValue(trace.input(), type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new IOException("sequence " + trace.sequence() + ": " + e.getMessage(), e);
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
     * Where and when a line was recorded.
     *
     * @param sequence position in the trace
     * @param timeMillis the time in milliseconds
     * @param configurationRevision revision of the configuration in force
     * @param seed seed of the run
     */
    public record Stamp(long sequence, long timeMillis, long configurationRevision, long seed) {}
}
