package org.cowslipbank.entry.trace;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.decision.trace.TraceCodec;
import org.cowslipbank.decision.trace.TraceRecord;
import org.cowslipbank.entry.traffic.DecisionRecorder;

/**
 * Records decisions in a trace file. A decision never waits for the file: when the queue is full, its record is dropped,
 * and a separate line in the file holds the number of dropped records. Recorded inputs hold digests of prompts and
 * identifiers of teams, but no prompt text and no keys.
 */
public final class FileDecisionRecorder implements DecisionRecorder, AutoCloseable {
    /** Queue length in records; covers a disk stall of about one second at 5,000 decisions per second. */
    public static final int DEFAULT_CAPACITY = 4_096;

    private static final Logger LOG = LogManager.getLogger(FileDecisionRecorder.class);
    private static final long IDLE_POLL_MILLIS = 100;
    private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

    private final BlockingQueue<QueuedDecision<?, ?>> queue;
    private final AtomicLong dropped = new AtomicLong();
    private final LongSupplier clockMillis;
    private final LongSupplier revision;
    private final OutputStream out;
    private final Thread writer;
    private volatile boolean closing;
    // Incremented by the writer thread alone, so that sequence numbers rise within a file.
    private long sequence;

    /**
     * Opens the file, discards its contents and starts the writer thread.
     *
     * @param file the trace file
     * @param capacity maximum number of records that wait to be written
     * @param clockMillis supplies the time in milliseconds
     * @param revision supplies the revision of the configuration in force
     * @throws IOException if the file cannot be opened
     */
    public FileDecisionRecorder(Path file, int capacity, LongSupplier clockMillis, LongSupplier revision)
            throws IOException {
        this(new BufferedOutputStream(Files.newOutputStream(file)), capacity, clockMillis, revision);
    }

    FileDecisionRecorder(OutputStream out, int capacity, LongSupplier clockMillis, LongSupplier revision) {
        this.queue = new ArrayBlockingQueue<>(capacity);
        this.clockMillis = clockMillis;
        this.revision = revision;
        this.out = out;
        this.writer = new Thread(this::writeRecords, "trace-writer");
        this.writer.setDaemon(true);
        this.writer.start();
    }

    @Override
    public <I, O> O decide(Decision<I, O> decision, I input) {
        O outcome = decision.function().apply(input);
        if (closing
                || !queue.offer(new QueuedDecision<>(
                        decision, input, outcome, clockMillis.getAsLong(), revision.getAsLong()))) {
            dropped.incrementAndGet();
        }
        return outcome;
    }

    /** Writes the queued records and closes the file, waiting up to 5 s. Later decisions are not recorded. */
    @Override
    public void close() {
        closing = true;
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeRecords() {
        try (out) {
            for (QueuedDecision<?, ?> entry = nextDecision(); entry != null; entry = nextDecision()) {
                out.write(TraceCodec.toLine(entry.toRecord(++sequence)));
            }
            writeDroppedCount();
        } catch (IOException e) {
            closing = true;
            queue.clear();
            LOG.error("step=TRACE cannot write the trace file, recording stops: {}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Returns null once the recorder is closing and the queue is empty.
    private QueuedDecision<?, ?> nextDecision() throws IOException, InterruptedException {
        while (true) {
            QueuedDecision<?, ?> entry = queue.poll();
            if (entry != null) {
                return entry;
            }
            writeDroppedCount();
            out.flush();
            if (closing) {
                return queue.poll();
            }
            entry = queue.poll(IDLE_POLL_MILLIS, TimeUnit.MILLISECONDS);
            if (entry != null) {
                return entry;
            }
        }
    }

    private void writeDroppedCount() throws IOException {
        long lines = dropped.getAndSet(0);
        if (lines > 0) {
            TraceCodec.Stamp stamp = new TraceCodec.Stamp(++sequence, clockMillis.getAsLong(), revision.getAsLong(), 0);
            out.write(TraceCodec.toLine(TraceCodec.droppedRecord(lines, stamp)));
        }
    }

    private record QueuedDecision<I, O>(Decision<I, O> decision, I input, O outcome, long timeMillis, long revision) {
        TraceRecord toRecord(long sequence) throws IOException {
            return TraceCodec.decisionRecord(
                    decision, input, outcome, new TraceCodec.Stamp(sequence, timeMillis, revision, 0));
        }
    }
}
