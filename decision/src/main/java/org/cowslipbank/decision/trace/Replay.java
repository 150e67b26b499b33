package org.cowslipbank.decision.trace;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;

/** Runs recorded inputs through the decisions and compares the outcomes with the recorded ones. */
public final class Replay {
    private static final String ABSENT = "nothing";

    private Replay() {}

    /**
     * Replays a trace.
     *
     * @param trace the records; lines that are not decisions are skipped
     * @return the first difference, or empty if every outcome equals the recorded one
     * @throws IOException if a record names an unknown decision, has no outcome, or its input or outcome does not match
     *     the types of the decision
     */
    public static Optional<ReplayDifference> run(List<TraceRecord> trace) throws IOException {
        for (TraceRecord record : trace) {
            Optional<ReplayDifference> difference = record.holdsDecision() ? replay(record) : Optional.empty();
            if (difference.isPresent()) {
                return difference;
            }
        }
        return Optional.empty();
    }

    private static Optional<ReplayDifference> replay(TraceRecord record) throws IOException {
        Optional<Decision<?, ?>> decision = Decisions.find(record.kind());
        if (decision.isEmpty()) {
            throw new IOException(
                    "sequence " + record.sequence() + ": cannot replay unknown decision '" + record.kind() + "'");
        }
        if (record.outcome() == null) {
            throw new IOException("sequence " + record.sequence() + ": cannot replay " + record.kind()
                    + " decision: it has no outcome");
        }
        return compare(record, decision.get());
    }

    private static <I, O> Optional<ReplayDifference> compare(TraceRecord record, Decision<I, O> decision)
            throws IOException {
        JsonNode recorded;
        I input;
        try {
            input = TraceJson.mapper().treeToValue(record.input(), decision.inputType());
            // Converting the recorded outcome to its type normalizes numbers and absent values like the replayed one.
            recorded = TraceJson.toTree(TraceJson.mapper().treeToValue(record.outcome(), decision.outcomeType()));
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException(
                    "sequence " + record.sequence() + ": cannot read " + record.kind() + " decision: " + e.getMessage(),
                    e);
        }
        JsonNode replayed = TraceJson.toTree(decision.function().apply(input));
        return firstDifference(record, "", recorded, replayed);
    }

    private static Optional<ReplayDifference> firstDifference(
            TraceRecord record, String path, JsonNode recorded, JsonNode replayed) {
        if (replayed.equals(recorded)) {
            return Optional.empty();
        }
        if (recorded.getNodeType() != replayed.getNodeType() || recorded.isValueNode()) {
            return Optional.of(difference(record, path, recorded, replayed));
        }
        return recorded.isArray()
                ? firstDifferenceInArray(record, path, recorded, replayed)
                : firstDifferenceInObject(record, path, recorded, replayed);
    }

    private static Optional<ReplayDifference> firstDifferenceInArray(
            TraceRecord record, String path, JsonNode recorded, JsonNode replayed) {
        for (int i = 0; i < Math.min(recorded.size(), replayed.size()); i++) {
            Optional<ReplayDifference> found =
                    firstDifference(record, path + "/" + i, recorded.get(i), replayed.get(i));
            if (found.isPresent()) {
                return found;
            }
        }
        int next = Math.min(recorded.size(), replayed.size());
        return Optional.of(difference(record, path + "/" + next, recorded.get(next), replayed.get(next)));
    }

    private static Optional<ReplayDifference> firstDifferenceInObject(
            TraceRecord record, String path, JsonNode recorded, JsonNode replayed) {
        TreeSet<String> names = new TreeSet<>();
        recorded.fieldNames().forEachRemaining(names::add);
        replayed.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            String at = path + "/" + name;
            JsonNode left = recorded.get(name);
            JsonNode right = replayed.get(name);
            if (left == null || right == null) {
                return Optional.of(difference(record, at, left, right));
            }
            Optional<ReplayDifference> found = firstDifference(record, at, left, right);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private static ReplayDifference difference(TraceRecord record, String path, JsonNode recorded, JsonNode replayed) {
        return new ReplayDifference(record.sequence(), record.kind(), path, jsonText(recorded), jsonText(replayed));
    }

    private static String jsonText(JsonNode node) {
        return node == null ? ABSENT : node.toString();
    }
}
