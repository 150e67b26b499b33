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
import org.cowslipbank.decision.trace.TraceFiles;
import org.cowslipbank.decision.trace.TraceRecord;
import org.cowslipbank.entry.traffic.DecisionRecorder;

/**
 * Records decisions to a file. A decision never waits for the file: when the queue is full, its record is dropped, and
 * a line of its own states how many were. Inputs hold digests of prompts and identifiers of teams, but no prompt text
 * and no keys.
 */
public final class FileDecisionRecorder implements DecisionRecorder, AutoCloseable {
    /** Queue length that covers a stall of the disk of about a second at 5,000 decisions a second. */
    public static final int DEFAULT_CAPACITY = 4_096;

    private static final Logger LOG = LogManager.getLogger(FileDecisionRecorder.class);
    private static final long IDLE_POLL_MILLIS = 100;
    private static final long CLOSE_WAIT_MILLIS = 5_000;

    private final BlockingQueue<Entry<?, ?>> queue;
    private final AtomicLong dropped = new AtomicLong();
    private final LongSupplier clockMillis;
    private final LongSupplier revision;
    private final OutputStream out;
    private final Thread writer;
    private volatile boolean closing;
    // Counted by the writer alone, so that the lines of a file have rising numbers.
    private long sequence;

    /**
     * Opens the file, replaces what it holds and starts the writer.
     *
     * @param file the file
     * @param capacity the most records that wait to be written
     * @param clockMillis gives the time in milliseconds
     * @param revision gives the revision of the configuration in force
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
        this.writer = new Thread(this::write, "trace-writer");
        this.writer.setDaemon(true);
        this.writer.start();
    }

    @Override
    public <I, O> O decide(Decision<I, O> decision, I input) {
        O outcome = decision.function().apply(input);
        if (closing
                || !queue.offer(new Entry<>(decision, input, outcome, clockMillis.getAsLong(), revision.getAsLong()))) {
            dropped.incrementAndGet();
        }
        return outcome;
    }

    /** Writes what is queued and closes the file. Decisions taken later are not recorded. */
    @Override
    public void close() {
        closing = true;
        try {
            writer.join(CLOSE_WAIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write() {
        try (out) {
            for (Entry<?, ?> entry = next(); entry != null; entry = next()) {
                out.write(TraceFiles.line(entry.toRecord(++sequence)));
            }
            writeDropped();
        } catch (IOException e) {
            closing = true;
            queue.clear();
            LOG.error("step=TRACE recording ends, the file cannot be written: {}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Returns null once the recorder closes and the queue is empty.
    private Entry<?, ?> next() throws IOException, InterruptedException {
        while (true) {
            Entry<?, ?> entry = queue.poll();
            if (entry != null) {
                return entry;
            }
            writeDropped();
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

    private void writeDropped() throws IOException {
        long lines = dropped.getAndSet(0);
        if (lines > 0) {
            TraceFiles.Stamp stamp = new TraceFiles.Stamp(++sequence, clockMillis.getAsLong(), revision.getAsLong(), 0);
            out.write(TraceFiles.line(TraceFiles.dropped(lines, stamp)));
        }
    }

    private record Entry<I, O>(Decision<I, O> decision, I input, O outcome, long timeMillis, long revision) {
        TraceRecord toRecord(long sequence) throws IOException {
            return TraceFiles.decision(
                    decision, input, outcome, new TraceFiles.Stamp(sequence, timeMillis, revision, 0));
        }
    }
}
