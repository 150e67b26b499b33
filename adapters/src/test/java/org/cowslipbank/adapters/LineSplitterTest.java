package org.cowslipbank.adapters;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;

final class LineSplitterTest {
    private static final int CHUNK_BYTES = 60_000;

    /** Failure guarded against: an engine's line without an end fills the node's memory. */
    @Example
    void lineWithoutEndIsBounded() {
        AtomicInteger taken = new AtomicInteger();
        Flux<byte[]> endless = Flux.generate(sink -> {
            taken.incrementAndGet();
            sink.next(new byte[CHUNK_BYTES]);
        });
        Throwable failure = LineSplitter.splitLines(endless)
                .then()
                .<Throwable>map(none -> new AssertionError())
                .onErrorResume(reactor.core.publisher.Mono::just)
                .block();
        assert Exceptions.unwrap(failure) instanceof IOException : failure;
        // The chunks that the operators fetch in advance come on top.
        assert taken.get() <= LineSplitter.MAX_LINE_BYTES / CHUNK_BYTES + 256 : taken;
    }

    /** Failure guarded against: the bound on lines cuts chunks that hold many of them. */
    @Example
    void linesAreSplitAtAnyPosition() {
        byte[] text = "a\nbb\nccc\nrest".getBytes(StandardCharsets.UTF_8);
        Flux<byte[]> bytes = Flux.range(0, text.length).map(index -> new byte[] {text[index]});
        List<String> lines =
                LineSplitter.splitLines(bytes).map(String::new).collectList().block();
        assert lines.equals(List.of("a", "bb", "ccc")) : lines;
    }
}
