package org.cowslipbank.adapters;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import reactor.core.publisher.Flux;

/** Splits a stream of byte chunks into the lines of newline-delimited JSON. */
public final class LineSplitter {
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    private LineSplitter() {}

    /**
     * Splits chunks into lines. An unfinished last line is dropped, because a cut connection must not yield a record.
     *
     * @param chunks the chunks
     * @return the lines without their line ends
     */
    public static Flux<byte[]> lines(Flux<byte[]> chunks) {
        return Flux.defer(() -> {
            LineSplitter splitter = new LineSplitter();
            return chunks.concatMapIterable(splitter::split);
        });
    }

    // Most chunks of a token stream are exactly one line, which is passed on without a copy through the buffer.
    private List<byte[]> split(byte[] chunk) {
        List<byte[]> lines = new ArrayList<>(1);
        int start = 0;
        for (int i = 0; i < chunk.length; i++) {
            if (chunk[i] == '\n') {
                lines.add(line(chunk, start, i));
                start = i + 1;
            }
        }
        if (start < chunk.length) {
            partial.write(chunk, start, chunk.length - start);
        }
        return lines;
    }

    private byte[] line(byte[] chunk, int start, int end) {
        if (partial.size() == 0) {
            return Arrays.copyOfRange(chunk, start, end);
        }
        partial.write(chunk, start, end - start);
        byte[] line = partial.toByteArray();
        partial.reset();
        return line;
    }
}
