package org.cowslipbank.entry.trace;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import net.jqwik.api.Example;
import org.cowslipbank.decision.trace.invariant.Invariants;

/** Guards against unnoticed changes of decisions and against an invariant checker that accepts a violation. */
final class TraceCasesTest {
    private static final Path CASES = Path.of("..", "traces");
    private static final Set<String> PROMISES = Set.of("P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8", "P9");
    private static final Set<String> FAILURES = Set.of(
            "store-lost",
            "link-slow",
            "process-death",
            "key-value-down",
            "response-lost",
            "lease-expired",
            "conflicting-changes",
            "crashing-request",
            "silent-connection");

    @Example
    void allCasesMatch() {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        int code = TraceReplay.run(List.of(CASES), true, new PrintStream(printed, true, StandardCharsets.UTF_8));
        assert code == TraceReplay.MATCH : printed.toString(StandardCharsets.UTF_8);
    }

    @Example
    void everyPromiseAndFailureHasACaseAndEveryInvariantAViolation() throws IOException {
        Set<String> covered = new TreeSet<>();
        Set<String> rejected = new TreeSet<>();
        try (Stream<Path> files = Files.list(CASES)) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".jsonl")).toList()) {
                List<String> lines = Files.readAllLines(file);
                assert lines.get(0).startsWith("// covers: ") : file;
                covered.addAll(
                        List.of(lines.get(0).substring("// covers: ".length()).split("[ ,:]+")));
                rejected.addAll(lines.stream()
                        .filter(line -> line.startsWith("// expect: violation "))
                        .map(line -> line.substring("// expect: violation ".length()))
                        .collect(Collectors.toSet()));
            }
        }
        assert covered.containsAll(PROMISES) : covered;
        assert covered.containsAll(FAILURES) : covered;
        assert rejected.equals(new TreeSet<>(Invariants.names())) : rejected;
    }

    @Example
    void mismatchAndUnreadableFileHaveDistinctExitCodes() throws IOException {
        Path file = Files.createTempFile("trace", ".jsonl");
        PrintStream nowhere = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        String claim = "{\"kind\":\"claim\",\"sequence\":1,\"input\":{\"windowAccepted\":false},\"outcome\":\"%s\"}";
        try {
            Files.writeString(file, String.format(claim, "EXPIRED"));
            assert TraceReplay.run(List.of(file), true, nowhere) == TraceReplay.MATCH;
            Files.writeString(file, String.format(claim, "GRANTED"));
            assert TraceReplay.run(List.of(file), true, nowhere) == TraceReplay.MISMATCH;
            Files.writeString(file, "{");
            assert TraceReplay.run(List.of(file), true, nowhere) == TraceReplay.UNREADABLE;
        } finally {
            Files.delete(file);
        }
    }
}
