package org.cowslipbank.adapters;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import reactor.core.publisher.Flux;

/** Splits a stream of byte chunks into the lines of newline-delimited JSON. */
public final class LineSplitter {
    /** Longest line that is read. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    private LineSplitter() {}

    /**
     * Splits chunks into lines. A last line without a line end is dropped, so that a connection that breaks off does not
     * yield a truncated record.
     *
     * @param chunks the chunks, split at arbitrary positions
     * @return the lines without their line ends; signals {@link IOException} if a line has more than 1 MiB
     */
    public static Flux<byte[]> splitLines(Flux<byte[]> chunks) {
        return Flux.defer(() -> {
            LineSplitter splitter = new LineSplitter();
            return chunks.<byte[]>handle((chunk, sink) -> {
                        if (splitter.partialLine.size() + chunk.length > MAX_LINE_BYTES) {
                            sink.error(new IOException("line is longer than " + MAX_LINE_BYTES + " bytes"));
                        } else {
                            sink.next(chunk);
                        }
                    })
                    .concatMapIterable(splitter::split);
        });
    }

    // Most chunks of a token stream hold exactly one line, which is not copied through the buffer.
    private List<byte[]> split(byte[] chunk) {
        List<byte[]> lines = new ArrayList<>(1);
        int start = 0;
        for (int i = 0; i < chunk.length; i++) {
            if (chunk[i] == '\n') {
                lines.add(completeLine(chunk, start, i));
                start = i + 1;
            }
        }
        if (start < chunk.length) {
            partialLine.write(chunk, start, chunk.length - start);
        }
        return lines;
    }

    private byte[] completeLine(byte[] chunk, int start, int end) {
        if (partialLine.size() == 0) {
            return Arrays.copyOfRange(chunk, start, end);
        }
        partialLine.write(chunk, start, end - start);
        byte[] line = partialLine.toByteArray();
        partialLine.reset();
        return line;
    }
}
