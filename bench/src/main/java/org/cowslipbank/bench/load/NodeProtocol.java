package org.cowslipbank.bench.load;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The streaming protocol that a node offers to callers: server-sent events. */
final class NodeProtocol implements StreamProtocol {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String DATA_PREFIX = "data: ";
    private static final String TEXT_FIELD_START = "\"text\":\"";

    private final LoadSettings settings;

    NodeProtocol(LoadSettings settings) {
        this.settings = settings;
    }

    @Override
    public Call toCall(LoadRequest request) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", settings.model());
        body.put("max_tokens", settings.maxTokens());
        body.put("prompt_cache_key", request.session());
        body.put("prompt", request.prompt());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        List<String> addresses = settings.addresses();
        // All requests of a session go to one node, as with the endpoint look-up.
        String address = addresses.get(Math.floorMod(request.session().hashCode(), addresses.size()));
        String key = settings.teams().get(request.team()).bearerKey();
        return new Call("http://" + address + "/v1/completions", "Bearer " + key, body.toString());
    }

    @Override
    public List<StreamLine> parseLine(String line) throws IOException {
        if (line.startsWith("{")) {
            return List.of(toError(MAPPER.readTree(line)));
        }
        if (!line.startsWith(DATA_PREFIX)) {
            return List.of();
        }
        if (line.startsWith("[DONE]", DATA_PREFIX.length())) {
            return List.of(StreamLine.END);
        }
        int from = line.indexOf(TEXT_FIELD_START) + TEXT_FIELD_START.length();
        if (from >= TEXT_FIELD_START.length() && line.endsWith("\"finish_reason\":null}]}")) {
            return List.of(StreamLine.token(line.substring(from, line.indexOf('"', from))));
        }
        JsonNode event = MAPPER.readTree(line.substring(DATA_PREFIX.length()));
        return List.of(event.has("error") ? toError(event) : toUsage(event));
    }

    private static StreamLine toError(JsonNode body) {
        return StreamLine.error(body.path("error").path("run").asText());
    }

    private static StreamLine toUsage(JsonNode event) {
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
