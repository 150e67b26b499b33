package org.cowslipbank.adapters;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
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

    private List<byte[]> split(byte[] chunk) {
        List<byte[]> lines = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < chunk.length; i++) {
            if (chunk[i] == '\n') {
                partial.write(chunk, start, i - start);
                lines.add(partial.toByteArray());
                partial.reset();
                start = i + 1;
            }
        }
        partial.write(chunk, start, chunk.length - start);
        return lines;
    }
}
