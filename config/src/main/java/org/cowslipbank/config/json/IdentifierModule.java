package org.cowslipbank.config.json;

import java.io.IOException;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
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

/** Jackson module that maps identifiers to plain strings, both as values and as field names. */
public final class IdentifierModule extends SimpleModule {
    private static final long serialVersionUID = 1L;

    /** Creates the module for all shared identifier types. */
    public IdentifierModule() {
        super("cowslipbank-identifiers");
        add(TeamId.class, TeamId::value, TeamId::new);
        add(UpstreamId.class, UpstreamId::value, UpstreamId::new);
        add(VmId.class, VmId::value, VmId::new);
        add(StoreId.class, StoreId::value, StoreId::new);
        add(DataCentreId.class, DataCentreId::value, DataCentreId::new);
        add(RequestId.class, RequestId::value, RequestId::new);
        add(AttemptId.class, AttemptId::value, AttemptId::new);
        add(SessionKey.class, SessionKey::value, SessionKey::new);
        add(BlockKey.class, BlockKey::hex, BlockKey::new);
    }

    private <T> void add(Class<T> type, Function<T, String> toText, Function<String, T> fromText) {
        addSerializer(type, new TextSerializer<>(type, toText, false));
        addKeySerializer(type, new TextSerializer<>(type, toText, true));
        addDeserializer(type, new TextDeserializer<>(type, fromText));
        addKeyDeserializer(type, new TextKeyDeserializer(fromText));
    }

    private static final class TextSerializer<T> extends StdSerializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<T, String> toText;
        private final boolean asFieldName;

        TextSerializer(Class<T> type, Function<T, String> toText, boolean asFieldName) {
            super(type);
            this.toText = toText;
            this.asFieldName = asFieldName;
        }

        @Override
        public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
            if (asFieldName) {
                generator.writeFieldName(toText.apply(value));
            } else {
                generator.writeString(toText.apply(value));
            }
        }
    }

    private static final class TextDeserializer<T> extends StdDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> fromText;

        TextDeserializer(Class<T> type, Function<String, T> fromText) {
            super(type);
            this.fromText = fromText;
        }

        @Override
        public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            return fromText.apply(parser.getValueAsString());
        }
    }

    private static final class TextKeyDeserializer extends KeyDeserializer {
        private final Function<String, ?> fromText;

        TextKeyDeserializer(Function<String, ?> fromText) {
            this.fromText = fromText;
        }

        @Override
        public Object deserializeKey(String key, DeserializationContext context) {
            return fromText.apply(key);
        }
    }
}
