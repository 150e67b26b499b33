package org.cowslipbank.entry.trace;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.decision.trace.Decisions;
import org.cowslipbank.decision.trace.TraceCodec;
import org.cowslipbank.decision.trace.TraceRecord;

/** Adds the outcomes of decisions to new cases that contain only inputs. Review the added outcomes before a commit. */
final class RecordOutcomes {
    private RecordOutcomes() {}

    public static void main(String[] files) throws IOException {
        for (String name : files) {
            Path file = Path.of(name);
            List<String> lines = new ArrayList<>();
            for (String line : Files.readAllLines(file)) {
                lines.add(
                        line.startsWith("{")
                                ? withOutcome(TraceCodec.read(List.of(line)).get(0), line)
                                : line);
            }
            Files.write(file, lines);
        }
    }

    private static String withOutcome(TraceRecord trace, String line) throws IOException {
        if (!trace.holdsDecision() || trace.outcome() != null) {
            return line;
        }
        TraceRecord full = decide(trace, Decisions.find(trace.kind()).orElseThrow());
        return new String(TraceCodec.toLine(full), StandardCharsets.UTF_8).strip();
    }

    private static <I, O> TraceRecord decide(TraceRecord trace, Decision<I, O> decision) throws IOException {
        I input = TraceCodec.readInput(trace, decision.inputType());
        TraceCodec.Stamp stamp =
                new TraceCodec.Stamp(trace.sequence(), trace.timeMillis(), trace.configurationRevision(), trace.seed());
        return TraceCodec.decisionRecord(decision, input, decision.function().apply(input), stamp);
    }
}
