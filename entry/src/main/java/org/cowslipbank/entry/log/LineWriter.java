package org.cowslipbank.entry.log;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines to a stream in a thread of its own. A line that finds the buffer full is counted instead of written,
 * so that a stream that nobody reads never blocks the threads that log.
 */
final class LineWriter {
    /** Lines that are buffered while the stream is slow. */
    static final int BUFFERED_LINES = 1_024;

    /** How long {@link #close} waits for the buffered lines to be written. */
    static final long CLOSE_WAIT_MILLIS = 300;

    private final PrintStream stream;
    private final BlockingQueue<byte[]> lines;
    private final AtomicLong dropped = new AtomicLong();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean closed;

    /**
     * Creates a writer and starts its thread.
     *
     * @param stream the stream
     * @param bufferedLines lines that are buffered while the stream is slow
     */
    LineWriter(PrintStream stream, int bufferedLines) {
        this.stream = stream;
        this.lines = new ArrayBlockingQueue<>(bufferedLines);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Writes a line, or counts it as dropped if the buffer is full.
     *
     * @param line the encoded line with its line break
     */
    void write(byte[] line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Returns the number of lines dropped since the last call.
     *
     * @return the number
     */
    long takeDropped() {
        return dropped.get() == 0 ? 0 : dropped.getAndSet(0);
    }

    /** Writes the buffered lines and ends the thread; waits for that for a limited time. */
    void close() {
        closed = true;
        thread.interrupt();
        try {
            thread.join(CLOSE_WAIT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        List<byte[]> batch = new ArrayList<>();
        while (!closed || !lines.isEmpty()) {
            try {
                byte[] first = lines.poll(closed ? 0 : Long.MAX_VALUE, TimeUnit.NANOSECONDS);
                if (first != null) {
                    batch.add(first);
                }
            } catch (InterruptedException e) {
                // Only close() interrupts the thread; what is buffered is still written.
                continue;
            }
            lines.drainTo(batch);
            batch.forEach(line -> stream.write(line, 0, line.length));
            stream.flush();
            batch.clear();
        }
    }
}
