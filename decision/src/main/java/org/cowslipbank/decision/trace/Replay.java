package org.cowslipbank.decision.trace;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;

/** Runs the recorded inputs of a trace through the decisions and compares the outcomes. */
public final class Replay {
    private static final String ABSENT = "nothing";

    private Replay() {}

    /**
     * Replays a trace.
     *
     * @param trace the records; those that hold no decision are skipped
     * @return the first difference, or empty if every outcome is as recorded
     * @throws IOException if a record names an unknown decision or its input or outcome is not that decision's
     */
    public static Optional<Difference> run(List<TraceRecord> trace) throws IOException {
        for (TraceRecord line : trace) {
            Optional<Difference> difference = line.holdsDecision() ? replay(line) : Optional.empty();
            if (difference.isPresent()) {
                return difference;
            }
        }
        return Optional.empty();
    }

    private static Optional<Difference> replay(TraceRecord line) throws IOException {
        Optional<Decision<?, ?>> decision = Decisions.find(line.kind());
        if (decision.isEmpty()) {
            throw new IOException("sequence " + line.sequence() + ": unknown decision '" + line.kind() + "'");
        }
        if (line.outcome() == null) {
            throw new IOException("sequence " + line.sequence() + ": " + line.kind() + " has no outcome");
        }
        return compare(line, decision.get());
    }

    private static <I, O> Optional<Difference> compare(TraceRecord line, Decision<I, O> decision) throws IOException {
        JsonNode recorded;
        I input;
        try {
            input = TraceJson.mapper().treeToValue(line.input(), decision.inputType());
            // Reading the recorded outcome as its type gives numbers and absent values the form of the replayed one.
            recorded = TraceJson.toTree(TraceJson.mapper().treeToValue(line.outcome(), decision.outcomeType()));
        } catch (IOException | IllegalArgumentException e) {
            throw new IOException("sequence " + line.sequence() + ": " + e.getMessage(), e);
        }
        JsonNode replayed = TraceJson.toTree(decision.function().apply(input));
        return firstDifference(line, "", recorded, replayed);
    }

    private static Optional<Difference> firstDifference(
            TraceRecord line, String path, JsonNode recorded, JsonNode replayed) {
        if (replayed.equals(recorded)) {
            return Optional.empty();
        }
        if (recorded.getNodeType() != replayed.getNodeType() || recorded.isValueNode()) {
            return Optional.of(difference(line, path, recorded, replayed));
        }
        return recorded.isArray() ? inArray(line, path, recorded, replayed) : inObject(line, path, recorded, replayed);
    }

    private static Optional<Difference> inArray(TraceRecord line, String path, JsonNode recorded, JsonNode replayed) {
        for (int i = 0; i < Math.min(recorded.size(), replayed.size()); i++) {
            Optional<Difference> found = firstDifference(line, path + "/" + i, recorded.get(i), replayed.get(i));
            if (found.isPresent()) {
                return found;
            }
        }
        int next = Math.min(recorded.size(), replayed.size());
        return Optional.of(difference(line, path + "/" + next, recorded.get(next), replayed.get(next)));
    }

    private static Optional<Difference> inObject(TraceRecord line, String path, JsonNode recorded, JsonNode replayed) {
        TreeSet<String> names = new TreeSet<>();
        recorded.fieldNames().forEachRemaining(names::add);
        replayed.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            String at = path + "/" + name;
            JsonNode left = recorded.get(name);
            JsonNode right = replayed.get(name);
            if (left == null || right == null) {
                return Optional.of(difference(line, at, left, right));
            }
            Optional<Difference> found = firstDifference(line, at, left, right);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private static Difference difference(TraceRecord line, String path, JsonNode recorded, JsonNode replayed) {
        return new Difference(line.sequence(), line.kind(), path, text(recorded), text(replayed));
    }

    private static String text(JsonNode node) {
        return node == null ? ABSENT : node.toString();
    }
}
