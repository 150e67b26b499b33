package org.cowslipbank.entry.trace;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.cowslipbank.decision.trace.Replay;
import org.cowslipbank.decision.trace.ReplayDifference;
import org.cowslipbank.decision.trace.TraceCodec;
import org.cowslipbank.decision.trace.TraceRecord;
import org.cowslipbank.decision.trace.invariant.InvariantViolation;
import org.cowslipbank.decision.trace.invariant.Invariants;

/**
 * Replays trace files and checks invariants over them.
 *
 * <p>A directory is replayed file by file, for all files ending in {@code .jsonl}. If it contains a file
 * {@code MUST-PASS}, the first word of that file is the number of cases that must match. A case may declare with a line
 * {@code // expect: violation NAME} that it violates exactly that invariant.
 */
public final class TraceReplay {
    /** Exit code if all outcomes, invariants and counts are as expected. */
    public static final int MATCH = 0;

    /** Exit code if an outcome, an invariant or a count differs. */
    public static final int MISMATCH = 1;

    /** Exit code if a file cannot be read. */
    public static final int UNREADABLE = 2;

    private static final String CASE_COUNT_FILE = "MUST-PASS";
    private static final String CASE_SUFFIX = ".jsonl";
    private static final String EXPECTED_VIOLATION = "// expect: violation ";

    private final boolean invariants;
    private final PrintStream out;

    private TraceReplay(boolean invariants, PrintStream out) {
        this.invariants = invariants;
        this.out = out;
    }

    /**
     * Replays files and directories; prints one line per matching case or per problem found.
     *
     * @param files trace files or directories of trace files
     * @param invariants true to also check the invariants over the events recorded in each file
     * @param out receives the report
     * @return the highest exit code of all files: {@link #MATCH}, {@link #MISMATCH} or {@link #UNREADABLE}
     */
    public static int run(List<Path> files, boolean invariants, PrintStream out) {
        TraceReplay replay = new TraceReplay(invariants, out);
        int worst = MATCH;
        for (Path file : files) {
            worst = Math.max(worst, Files.isDirectory(file) ? replay.replayDirectory(file) : replay.replayFile(file));
        }
        return worst;
    }

    private int replayDirectory(Path directory) {
        try (Stream<Path> entries = Files.list(directory)) {
            List<Path> cases = entries.filter(path -> path.toString().endsWith(CASE_SUFFIX))
                    .sorted()
                    .toList();
            int worst = MATCH;
            int passed = 0;
            for (Path file : cases) {
                int result = replayFile(file);
                worst = Math.max(worst, result);
                passed += result == MATCH ? 1 : 0;
            }
            return Math.max(worst, checkCaseCount(directory, passed));
        } catch (IOException e) {
            return unreadable(directory, e);
        }
    }

    private int checkCaseCount(Path directory, int passed) throws IOException {
        Path file = directory.resolve(CASE_COUNT_FILE);
        if (!Files.exists(file)) {
            return MATCH;
        }
        String expected = Files.readString(file).strip().split("\\s+")[0];
        boolean same = expected.equals(Integer.toString(passed));
        out.printf("%s: %d cases match, expected %s%n", directory, passed, expected);
        return same ? MATCH : MISMATCH;
    }

    private int replayFile(Path file) {
        try {
            List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
            List<TraceRecord> trace = TraceCodec.read(lines);
            List<String> problems = problems(lines, trace);
            problems.forEach(problem -> out.println(file + ": " + problem));
            if (problems.isEmpty()) {
                out.println(file + ": matches, " + trace.size() + " records");
            }
            return problems.isEmpty() ? MATCH : MISMATCH;
        } catch (IOException e) {
            return unreadable(file, e);
        }
    }

    private List<String> problems(List<String> lines, List<TraceRecord> trace) throws IOException {
        List<String> problems = new ArrayList<>();
        Optional<ReplayDifference> difference = Replay.run(trace);
        difference.ifPresent(found -> problems.add(found.toString()));
        if (!invariants) {
            return problems;
        }
        List<String> expected = lines.stream()
                .filter(line -> line.startsWith(EXPECTED_VIOLATION))
                .map(line -> line.substring(EXPECTED_VIOLATION.length()).strip())
                .toList();
        List<InvariantViolation> violations = Invariants.check(trace);
        violations.stream()
                .filter(violation -> !expected.contains(violation.invariant()))
                .forEach(violation -> problems.add(violation.toString()));
        expected.stream()
                .filter(name -> violations.stream()
                        .noneMatch(violation -> violation.invariant().equals(name)))
                .forEach(name -> problems.add("expected violation of " + name + " was not found"));
        return problems;
    }

    private int unreadable(Path path, IOException error) {
        out.println(path + ": cannot read: " + error.getMessage());
        return UNREADABLE;
    }
}
