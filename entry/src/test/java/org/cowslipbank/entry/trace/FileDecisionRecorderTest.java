package org.cowslipbank.entry.trace;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import net.jqwik.api.Example;
import org.cowslipbank.decision.claims.ClaimLookup;
import org.cowslipbank.decision.trace.Replay;
import org.cowslipbank.decision.trace.TraceCodec;
import org.cowslipbank.decision.trace.TraceRecord;

/** Guards against decisions that block on a stalled trace file, and against dropped records that are not counted. */
final class FileDecisionRecorderTest {
    private static final ClaimLookup.Input INPUT =
            new ClaimLookup.Input(true, ClaimLookup.Recorded.NONE, true, false, 0, 30_000);

    @Example
    void stalledFileDropsAndCounts() throws Exception {
        StalledOutput out = new StalledOutput();
        FileDecisionRecorder recorder = new FileDecisionRecorder(out, 4, () -> 0, () -> 3);
        recorder.decide(ClaimLookup.DECISION, INPUT);
        out.reached.await();
        for (int i = 0; i < 10; i++) {
            recorder.decide(ClaimLookup.DECISION, INPUT);
        }
        out.stall.countDown();
        recorder.close();
        List<TraceRecord> lines = TraceCodec.read(
                out.bytes.toString(StandardCharsets.UTF_8).lines().toList());
        long decisions = lines.stream().filter(TraceRecord::holdsDecision).count();
        long dropped = lines.stream()
                .filter(line -> !line.holdsDecision())
                .mapToLong(line -> line.input().get("lines").asLong())
                .sum();
        assert decisions == 5 : lines;
        assert dropped == 6 : lines;
        assert Replay.run(lines).isEmpty();
    }

    private static final class StalledOutput extends OutputStream {
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch stall = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            reached.countDown();
            try {
                stall.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            bytes.write(value);
        }
    }
}
