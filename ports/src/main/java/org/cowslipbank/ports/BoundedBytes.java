package org.cowslipbank.ports;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Collects the bytes of a message up to a limit. A faulty peer may send bytes without end until its connection is closed;
 * a time-out alone would let them fill the memory.
 */
public final class BoundedBytes {
    private BoundedBytes() {}

    /** A message is longer than its reader accepts. */
    public static final class OversizedMessageException extends IOException {
        private static final long serialVersionUID = 1;

        OversizedMessageException(int maxBytes) {
            super("message is longer than " + maxBytes + " bytes");
        }
    }

    /**
     * Collects chunks.
     *
     * @param chunks the chunks; cancelled, which closes their connection, once they exceed the limit
     * @param maxBytes the largest message in bytes
     * @return the message, empty bytes if there were no chunks; signals {@link OversizedMessageException} beyond the limit
     */
    public static Mono<byte[]> collect(Flux<byte[]> chunks, int maxBytes) {
        return Mono.defer(() -> {
            ByteArrayOutputStream collected = new ByteArrayOutputStream();
            return chunks.<byte[]>handle((chunk, sink) -> {
                        if (collected.size() + chunk.length > maxBytes) {
                            sink.error(new OversizedMessageException(maxBytes));
                            return;
                        }
                        collected.writeBytes(chunk);
                    })
                    .then(Mono.fromSupplier(collected::toByteArray));
        });
    }

    /**
     * Returns whether an error, or one of its causes, is a message that was too long.
     *
     * @param error the error
     * @return true for {@link OversizedMessageException}
     */
    public static boolean isOversized(Throwable error) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            if (cause instanceof OversizedMessageException) {
                return true;
            }
        }
        return false;
    }
}
