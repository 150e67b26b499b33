package org.cowslipbank.entry.suspects;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import reactor.core.publisher.Mono;

/** Encodes and decodes the messages that nodes exchange about suspects. */
final class SuspectMessages {
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    private SuspectMessages() {}

    static byte[] write(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException(
                    "cannot encode " + message.getClass().getSimpleName(), e);
        }
    }

    static <T> Mono<T> read(byte[] bytes, Class<T> type) {
        try {
            return Mono.just(MAPPER.readValue(bytes, type));
        } catch (IOException e) {
            return Mono.error(
                    new PeerException(ProcessingStep.PEER, "", RunState.NOT_RUN, "unreadable message of a peer", e));
        }
    }
}
