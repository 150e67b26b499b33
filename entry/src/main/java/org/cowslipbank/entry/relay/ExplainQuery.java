package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.cowslipbank.model.relay.PromptPart;
import org.cowslipbank.model.relay.PromptShape;
import org.cowslipbank.ports.relay.RelayCodec;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * The request whose placement is to be explained.
 *
 * @param request the request as a client would send it, without a key; its host is empty if it is not stated
 * @param team name of the client's team, empty if it is not stated
 * @param softwareVersion version at which the stream began that the request takes up, empty for a new request
 */
record ExplainQuery(RelayRequest request, Optional<String> team, Optional<String> softwareVersion) {
    /** Path on the metrics listener. */
    static final String PATH = "/explain";

    private static final String METHOD = "method";
    private static final String REQUEST_PATH = "path";
    private static final String HOST = "host";
    private static final String REQUEST_ID = "id";
    private static final String TEAM = "team";
    private static final String SOFTWARE_VERSION = "softwareVersion";
    private static final String MODEL = "model";
    private static final String PARTS = "parts";
    private static final String PROMPT_TOKENS = "promptTokens";
    private static final Set<String> NAMES =
            Set.of(METHOD, REQUEST_PATH, HOST, REQUEST_ID, TEAM, SOFTWARE_VERSION, MODEL, PARTS, PROMPT_TOKENS);

    /** A query is malformed. */
    static final class MalformedQueryException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedQueryException(String message) {
            super(message);
        }
    }

    /**
     * Decodes a query.
     *
     * @param uri path and query
     * @param codec decodes the prompt
     * @return the query
     * @throws MalformedQueryException if a value is missing or malformed, or a name is unknown or stated twice
     */
    static ExplainQuery of(String uri, RelayCodec codec) throws MalformedQueryException {
        Map<String, List<String>> values;
        try {
            values = new QueryStringDecoder(uri).parameters();
        } catch (IllegalArgumentException e) {
            throw new MalformedQueryException("the query is not encoded correctly");
        }
        for (Map.Entry<String, List<String>> value : values.entrySet()) {
            if (!NAMES.contains(value.getKey()) || value.getValue().size() != 1) {
                throw new MalformedQueryException("'" + value.getKey() + "' is unknown or stated twice");
            }
        }
        String method = value(values, METHOD).orElse("");
        if (!method.matches("[A-Z]+")) {
            throw new MalformedQueryException("'method' is no method of HTTP");
        }
        String path = value(values, REQUEST_PATH).orElse("");
        if (!path.startsWith("/")) {
            throw new MalformedQueryException("'path' does not start with a slash");
        }
        RelayRequest request = new RelayRequest(
                value(values, REQUEST_ID).orElse(""),
                method,
                path,
                value(values, HOST).orElse("").toLowerCase(Locale.ROOT),
                Optional.empty(),
                OptionalLong.empty(),
                prompt(values, codec),
                Optional.empty(),
                Optional.empty(),
                List.of());
        return new ExplainQuery(request, value(values, TEAM), value(values, SOFTWARE_VERSION));
    }

    private static Optional<PromptShape> prompt(Map<String, List<String>> values, RelayCodec codec)
            throws MalformedQueryException {
        Optional<String> model = value(values, MODEL);
        Optional<String> tokens = value(values, PROMPT_TOKENS);
        Optional<String> parts = value(values, PARTS);
        if (model.isEmpty()) {
            if (tokens.isPresent() || parts.isPresent()) {
                throw new MalformedQueryException("a prompt needs 'model'");
            }
            return Optional.empty();
        }
        try {
            PromptShape prompt = codec.decodePrompt(model.get(), tokens.orElse("0"), parts.orElse(""));
            long sum = prompt.parts().stream().mapToLong(PromptPart::tokens).sum();
            return Optional.of(
                    tokens.isPresent()
                            ? prompt
                            : new PromptShape(
                                    prompt.model(),
                                    (int) Math.min(Integer.MAX_VALUE, sum),
                                    prompt.maxOutputTokens(),
                                    prompt.parts()));
        } catch (RelayCodec.MalformedHeadException e) {
            throw new MalformedQueryException(e.getMessage());
        }
    }

    private static Optional<String> value(Map<String, List<String>> values, String name) {
        return Optional.ofNullable(values.get(name)).map(stated -> stated.get(0));
    }
}
