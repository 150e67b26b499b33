package org.cowslipbank.adapters;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.cowslipbank.config.json.IdentifierModule;
import org.cowslipbank.ports.EngineEvent;

/** JSON mapping of the records of ports: identifiers are plain strings, engine events have a {@code type} field. */
public final class WireJson {
    private static final ObjectMapper MAPPER = createMapper();

    private WireJson() {}

    /**
     * Returns the shared mapper.
     *
     * @return the mapper
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Encodes a record as JSON.
     *
     * @param value the record
     * @return the JSON in UTF-8
     * @throws IllegalStateException if the record cannot be encoded, which is a programming error
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "cannot encode as JSON: " + value.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a record from JSON.
     *
     * @param <T> the record's type
     * @param bytes the JSON in UTF-8
     * @param type the record's class
     * @return the record
     * @throws IOException if the bytes are not the JSON of such a record
     */
    public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        return MAPPER.readValue(bytes, type);
    }

    private static ObjectMapper createMapper() {
        return JsonMapper.builder()
                .addModule(new IdentifierModule())
                .addMixIn(EngineEvent.class, EngineEventMixIn.class)
                .build();
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = EngineEvent.Started.class, name = "started"),
        @JsonSubTypes.Type(value = EngineEvent.Token.class, name = "token"),
        @JsonSubTypes.Type(value = EngineEvent.Heartbeat.class, name = "heartbeat"),
        @JsonSubTypes.Type(value = EngineEvent.Finished.class, name = "finished")
    })
    private interface EngineEventMixIn {}
}
