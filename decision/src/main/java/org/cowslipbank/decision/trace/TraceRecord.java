package org.cowslipbank.decision.trace;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;

/**
 * One line of a trace: a decision with its input and outcome, an event, or a count of dropped lines. Property names are
 * read case-insensitively.
 *
 * @param kind name of the decision, {@link #EVENT} or {@link #DROPPED}
 * @param sequence position in the trace, increasing from line to line
 * @param timeMillis time of the line in milliseconds, on the clock of the process that wrote it
 * @param configurationRevision revision of the configuration in force
 * @param seed random seed of the run, zero if none is used
 * @param input the decision's input, the event, or the count of dropped lines
 * @param outcome the decision's outcome; null for other lines
 */
@JsonFormat(with = JsonFormat.Feature.ACCEPT_CASE_INSENSITIVE_PROPERTIES)
@JsonInclude(JsonInclude.Include.NON_NULL)
public record TraceRecord(
        String kind,
        long sequence,
        long timeMillis,
        long configurationRevision,
        long seed,
        JsonNode input,
        JsonNode outcome) {
    /** Kind of a line that holds an event. */
    public static final String EVENT = "fact";

    /** Kind of a line that counts the lines dropped before it. */
    public static final String DROPPED = "dropped";

    /** Treats an outcome that is the JSON value null as absent. */
    public TraceRecord {
        outcome = outcome instanceof NullNode ? null : outcome;
    }

    /**
     * Returns whether the line holds a decision.
     *
     * @return true if it can be replayed
     */
    public boolean holdsDecision() {
        return !EVENT.equals(kind) && !DROPPED.equals(kind);
    }

    /**
     * Input of a {@link #DROPPED} line.
     *
     * @param lines number of lines dropped since the previous {@link #DROPPED} line
     */
    public record Dropped(long lines) {}
}
