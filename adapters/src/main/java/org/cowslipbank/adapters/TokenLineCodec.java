package org.cowslipbank.adapters;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.ports.EngineEvent;

/**
 * Encodes and decodes the line of a token without data binding, because this is a hot path: a node reads 80,000 such
 * lines per second. All other lines, and token lines whose fields are in another order, are decoded by
 * {@link WireJson}.
 */
public final class TokenLineCodec {
    private static final JsonFactory FACTORY = WireJson.mapper().getFactory();
    private static final byte[] TOKEN_LINE_PREFIX = "{\"type\":\"token\",".getBytes(StandardCharsets.UTF_8);

    private TokenLineCodec() {}

    /**
     * Encodes a token.
     *
     * @param token the token
     * @return the JSON line in UTF-8, with its line end
     */
    public static byte[] write(EngineEvent.Token token) {
        StringBuilder line = new StringBuilder(96).append("{\"type\":\"token\",\"attempt\":\"");
        JsonStringEncoder.getInstance().quoteAsString(token.attempt().value(), line);
        line.append("\",\"index\":").append(token.index()).append(",\"text\":\"");
        JsonStringEncoder.getInstance().quoteAsString(token.text(), line);
        return line.append("\"}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Decodes an event.
     *
     * @param line the JSON line without its line end
     * @param expected attempt whose events are expected; its instance is reused if the line names it
     * @return the event
     * @throws IOException if the line is not an event
     */
    static EngineEvent read(byte[] line, AttemptId expected) throws IOException {
        return hasTokenLinePrefix(line) ? readToken(line, expected) : WireJson.read(line, EngineEvent.class);
    }

    private static boolean hasTokenLinePrefix(byte[] line) {
        for (int i = 0; i < TOKEN_LINE_PREFIX.length; i++) {
            if (i >= line.length || line[i] != TOKEN_LINE_PREFIX[i]) {
                return false;
            }
        }
        return true;
    }

    private static EngineEvent readToken(byte[] line, AttemptId expected) throws IOException {
        String attempt = null;
        String text = null;
        int index = -1;
        try (JsonParser parser = FACTORY.createParser(line)) {
            parser.nextToken();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                parser.nextToken();
                if (name.equals("attempt")) {
                    attempt = parser.getText();
                } else if (name.equals("index")) {
                    index = parser.getIntValue();
                } else if (name.equals("text")) {
                    text = parser.getText();
                }
            }
            if (attempt == null || text == null || index < 0 || parser.currentToken() != JsonToken.END_OBJECT) {
                throw new IOException(
                        "incomplete token line for " + expected + ": attempt, index or text is missing or malformed");
            }
        }
        return new EngineEvent.Token(attempt.equals(expected.value()) ? expected : new AttemptId(attempt), index, text);
    }
}
