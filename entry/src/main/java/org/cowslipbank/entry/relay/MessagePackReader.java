package org.cowslipbank.entry.relay;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Decodes messages of other nodes, of which any bytes may be wrong. */
final class MessagePackReader {
    private MessagePackReader() {}

    /**
     * Decodes a message.
     *
     * @param <T> type of the message
     * @param mapper the mapper for MessagePack
     * @param bytes the encoded message
     * @param type type of the message
     * @return the message, never null
     * @throws IOException if the bytes are no such message
     */
    static <T> T read(ObjectMapper mapper, byte[] bytes, Class<T> type) throws IOException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            // The mapper allocates the stated length of binary data before it reads them.
            unpacker.skipValue();
            T message = mapper.readValue(bytes, type);
            if (message == null) {
                throw new IOException("no value instead of " + type.getSimpleName());
            }
            return message;
        } catch (RuntimeException e) {
            throw new IOException("invalid MessagePack: " + e.getMessage(), e);
        }
    }
}
