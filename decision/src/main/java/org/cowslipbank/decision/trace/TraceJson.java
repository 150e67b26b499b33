package org.cowslipbank.decision.trace;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.annotation.JsonSerialize;
import com.fasterxml.jackson.databind.deser.ContextualDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import org.cowslipbank.config.json.IdentifierModule;
import org.cowslipbank.decision.streams.StreamEffect;
import org.cowslipbank.decision.streams.StreamEvent;

/**
 * JSON mapping of traces: identifiers are plain strings, sealed interfaces carry the type property given by their
 * annotations, and answer texts are left out, because a trace must not contain what callers send or receive.
 */
final class TraceJson {
    private static final ObjectMapper MAPPER = newMapper();

    private TraceJson() {}

    static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Converts a value to a tree through its JSON text, so that its numbers compare equal to those read from a file.
     */
    static JsonNode toTree(Object value) throws IOException {
        return MAPPER.readTree(MAPPER.writeValueAsBytes(value));
    }

    private static ObjectMapper newMapper() {
        SimpleModule module = new SimpleModule("trace");
        module.addSerializer(new OptionalSerializer());
        module.addDeserializer(Optional.class, new OptionalDeserializer(null));
        return JsonMapper.builder()
                .addModule(new IdentifierModule())
                .addModule(module)
                .addMixIn(StreamEvent.Token.class, EmptyTextMixIn.class)
                .addMixIn(StreamEffect.Emit.class, EmptyTextMixIn.class)
                // Methods named isX derive from a record's components and must not be written as properties.
                .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
                .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                .build();
    }

    private interface EmptyTextMixIn {
        @JsonSerialize(using = EmptyTextSerializer.class)
        String text();
    }

    private static final class EmptyTextSerializer extends StdSerializer<String> {
        private static final long serialVersionUID = 1L;

        EmptyTextSerializer() {
            super(String.class);
        }

        @Override
        public void serialize(String value, JsonGenerator generator, SerializerProvider provider) throws IOException {
            generator.writeString("");
        }
    }

    private static final class OptionalSerializer extends StdSerializer<Optional<?>> {
        private static final long serialVersionUID = 1L;

        OptionalSerializer() {
            super(Optional.class, false);
        }

        @Override
        public void serialize(Optional<?> value, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            provider.defaultSerializeValue(value.orElse(null), generator);
        }
    }

    /** Reads null and absent properties as an empty optional. */
    private static final class OptionalDeserializer extends JsonDeserializer<Optional<?>>
            implements ContextualDeserializer {
        private final JavaType content;

        OptionalDeserializer(JavaType content) {
            this.content = content;
        }

        @Override
        public JsonDeserializer<?> createContextual(DeserializationContext context, BeanProperty property) {
            return new OptionalDeserializer(context.getContextualType().containedTypeOrUnknown(0));
        }

        @Override
        public Optional<?> deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return Optional.of(context.readValue(parser, content));
        }

        @Override
        public Optional<?> getNullValue(DeserializationContext context) {
            return Optional.empty();
        }

        @Override
        public Object getAbsentValue(DeserializationContext context) {
            return Optional.empty();
        }
    }
}
