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

import org.cowslipbank.decision.trace.Difference;
import org.cowslipbank.decision.trace.Replay;
import org.cowslipbank.decision.trace.TraceFiles;
import org.cowslipbank.decision.trace.TraceRecord;
import org.cowslipbank.decision.trace.invariant.Invariants;
import org.cowslipbank.decision.trace.invariant.Violation;

/**
 * Replays trace files and checks invariants over them.
 *
 * <p>A directory stands for the files in it that end in {@code .jsonl}. If it holds a file {@code MUST-PASS}, the first
 * word of that file is the number of cases that must be as stated. A case may state with a line
 * {@code // expect: violation NAME} that it breaks exactly that invariant.
 */
public final class TraceReplay {
    /** Exit code when everything is as stated. */
    public static final int AS_STATED = 0;

    /** Exit code when an outcome, an invariant or a count differs. */
    public static final int DIFFERENCE = 1;

    /** Exit code when a file cannot be read. */
    public static final int UNREADABLE = 2;

    private static final String COUNT_FILE = "MUST-PASS";
    private static final String CASE_SUFFIX = ".jsonl";
    private static final String EXPECTED_VIOLATION = "// expect: violation ";

    private final boolean invariants;
    private final PrintStream out;

    private TraceReplay(boolean invariants, PrintStream out) {
        this.invariants = invariants;
        this.out = out;
    }

    /**
     * Replays files and directories and prints one line for each case.
     *
     * @param files files or directories
     * @param invariants true to check the invariants over the facts of each file as well
     * @param out takes the lines
     * @return {@link #AS_STATED}, {@link #DIFFERENCE} or {@link #UNREADABLE}
     */
    public static int run(List<Path> files, boolean invariants, PrintStream out) {
        TraceReplay replay = new TraceReplay(invariants, out);
        int worst = AS_STATED;
        for (Path file : files) {
            worst = Math.max(worst, Files.isDirectory(file) ? replay.directory(file) : replay.file(file));
        }
        return worst;
    }

    private int directory(Path directory) {
        try (Stream<Path> entries = Files.list(directory)) {
            List<Path> cases = entries.filter(path -> path.toString().endsWith(CASE_SUFFIX))
                    .sorted()
                    .toList();
            int worst = AS_STATED;
            int passed = 0;
            for (Path file : cases) {
                int result = file(file);
                worst = Math.max(worst, result);
                passed += result == AS_STATED ? 1 : 0;
            }
            return Math.max(worst, count(directory, passed));
        } catch (IOException e) {
            return unreadable(directory, e);
        }
    }

    private int count(Path directory, int passed) throws IOException {
        Path file = directory.resolve(COUNT_FILE);
        if (!Files.exists(file)) {
            return AS_STATED;
        }
        String stated = Files.readString(file).strip().split("\\s+")[0];
        boolean same = stated.equals(Integer.toString(passed));
        out.printf("%s: %d cases as stated, %s must be%n", directory, passed, stated);
        return same ? AS_STATED : DIFFERENCE;
    }

    private int file(Path file) {
        try {
            List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
            List<TraceRecord> trace = TraceFiles.read(lines);
            List<String> problems = problems(lines, trace);
            problems.forEach(problem -> out.println(file + ": " + problem));
            if (problems.isEmpty()) {
                out.println(file + ": as stated, " + trace.size() + " records");
            }
            return problems.isEmpty() ? AS_STATED : DIFFERENCE;
        } catch (IOException e) {
            return unreadable(file, e);
        }
    }

    private List<String> problems(List<String> lines, List<TraceRecord> trace) throws IOException {
        List<String> problems = new ArrayList<>();
        Optional<Difference> difference = Replay.run(trace);
        difference.ifPresent(found -> problems.add(found.toString()));
        if (!invariants) {
            return problems;
        }
        List<String> expected = lines.stream()
                .filter(line -> line.startsWith(EXPECTED_VIOLATION))
                .map(line -> line.substring(EXPECTED_VIOLATION.length()).strip())
                .toList();
        List<Violation> violations = Invariants.check(trace);
        violations.stream()
                .filter(violation -> !expected.contains(violation.invariant()))
                .forEach(violation -> problems.add(violation.toString()));
        expected.stream()
                .filter(name -> violations.stream()
                        .noneMatch(violation -> violation.invariant().equals(name)))
                .forEach(name -> problems.add("the stated violation of " + name + " was not found"));
        return problems;
    }

    private int unreadable(Path path, IOException error) {
        out.println(path + ": unreadable: " + error.getMessage());
        return UNREADABLE;
    }
}
