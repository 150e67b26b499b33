package org.cowslipbank.adapters;

import java.io.IOException;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.SessionKey;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.EngineEvent;

/** JSON mapping of the port records: identifiers are plain strings, engine events carry a {@code type}. */
public final class WireJson {
    private static final ObjectMapper MAPPER = newMapper();

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
     * Writes a record as JSON bytes.
     *
     * @param value the record
     * @return the bytes
     * @throws IllegalStateException if the record cannot be written, which is a programming error
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write " + value.getClass().getSimpleName(), e);
        }
    }

    /**
     * Reads a record from JSON bytes.
     *
     * @param <T> the record's type
     * @param bytes the bytes
     * @param type the record's class
     * @return the record
     * @throws IOException if the bytes do not hold such a record
     */
    public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        return MAPPER.readValue(bytes, type);
    }

    private static ObjectMapper newMapper() {
        SimpleModule module = new SimpleModule("cowslipbank");
        addIdentifier(module, TeamId.class, TeamId::value, TeamId::new);
        addIdentifier(module, UpstreamId.class, UpstreamId::value, UpstreamId::new);
        addIdentifier(module, VmId.class, VmId::value, VmId::new);
        addIdentifier(module, StoreId.class, StoreId::value, StoreId::new);
        addIdentifier(module, DataCentreId.class, DataCentreId::value, DataCentreId::new);
        addIdentifier(module, RequestId.class, RequestId::value, RequestId::new);
        addIdentifier(module, AttemptId.class, AttemptId::value, AttemptId::new);
        addIdentifier(module, SessionKey.class, SessionKey::value, SessionKey::new);
        addIdentifier(module, BlockKey.class, BlockKey::hex, BlockKey::new);
        return JsonMapper.builder()
                .addModule(module)
                .addMixIn(EngineEvent.class, EngineEventMixIn.class)
                .build();
    }

    private static <T> void addIdentifier(
            SimpleModule module, Class<T> type, Function<T, String> toText, Function<String, T> fromText) {
        module.addSerializer(type, new IdentifierSerializer<>(type, toText));
        module.addDeserializer(type, new IdentifierDeserializer<>(type, fromText));
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = EngineEvent.Started.class, name = "started"),
        @JsonSubTypes.Type(value = EngineEvent.Token.class, name = "token"),
        @JsonSubTypes.Type(value = EngineEvent.Heartbeat.class, name = "heartbeat"),
        @JsonSubTypes.Type(value = EngineEvent.Finished.class, name = "finished")
    })
    private interface EngineEventMixIn {}

    private static final class IdentifierSerializer<T> extends StdSerializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<T, String> toText;

        IdentifierSerializer(Class<T> type, Function<T, String> toText) {
            super(type);
            this.toText = toText;
        }

        @Override
        public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
            generator.writeString(toText.apply(value));
        }
    }

    private static final class IdentifierDeserializer<T> extends StdDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> fromText;

        IdentifierDeserializer(Class<T> type, Function<String, T> fromText) {
            super(type);
            this.fromText = fromText;
        }

        @Override
        public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return fromText.apply(parser.getValueAsString());
        }
    }
}
