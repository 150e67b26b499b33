package org.cowslipbank.bench.load;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The callers' interface of a node: server-sent events. */
final class NodeProtocol implements StreamProtocol {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String DATA = "data: ";
    private static final String TEXT = "\"text\":\"";

    private final LoadSettings settings;

    NodeProtocol(LoadSettings settings) {
        this.settings = settings;
    }

    @Override
    public Call call(LoadRequest request) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", settings.model());
        body.put("max_tokens", settings.maxTokens());
        body.put("prompt_cache_key", request.session());
        body.put("prompt", request.prompt());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        List<String> addresses = settings.addresses();
        // A session stays with its node, as the address look-up would have it.
        String address = addresses.get(Math.floorMod(request.session().hashCode(), addresses.size()));
        String key = settings.teams().get(request.team()).bearerKey();
        return new Call("http://" + address + "/v1/completions", "Bearer " + key, body.toString());
    }

    @Override
    public List<StreamLine> read(String line) throws IOException {
        if (line.startsWith("{")) {
            return List.of(error(MAPPER.readTree(line)));
        }
        if (!line.startsWith(DATA)) {
            return List.of();
        }
        if (line.startsWith("[DONE]", DATA.length())) {
            return List.of(StreamLine.END);
        }
        int from = line.indexOf(TEXT) + TEXT.length();
        if (from >= TEXT.length() && line.endsWith("\"finish_reason\":null}]}")) {
            return List.of(StreamLine.token(line.substring(from, line.indexOf('"', from))));
        }
        JsonNode event = MAPPER.readTree(line.substring(DATA.length()));
        return List.of(event.has("error") ? error(event) : usage(event));
    }

    private static StreamLine error(JsonNode body) {
        return StreamLine.error(body.path("error").path("run").asText());
    }

    private static StreamLine usage(JsonNode event) {
        JsonNode usage = event.path("usage");
        return usage.isObject()
                ? StreamLine.usage(
                        usage.path("prompt_tokens").asLong(),
                        usage.path("prompt_tokens_details")
                                .path("cached_tokens")
                                .asLong())
                : StreamLine.OTHER;
    }
}
