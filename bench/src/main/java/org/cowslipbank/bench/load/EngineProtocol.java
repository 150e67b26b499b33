package org.cowslipbank.bench.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.cowslipbank.adapters.WireJson;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.PromptChain;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.ports.GenerateCall;

/** The streaming protocol of an engine stand-in, for calls that bypass the node. */
final class EngineProtocol implements StreamProtocol {
    private static final String TOKEN_EVENT_START = "{\"type\":\"token\"";
    private static final String TEXT_FIELD_START = "\"text\":\"";

    private final LoadSettings settings;
    private final ModelRef model;

    EngineProtocol(LoadSettings settings, ModelRef model) {
        this.settings = settings;
        this.model = model;
    }

    @Override
    public Call toCall(LoadRequest request) {
        GenerateCall call = new GenerateCall(
                new AttemptId("direct-" + settings.seed() + "-" + request.number()),
                new TeamId(settings.teams().get(request.team()).name()),
                model,
                request.prompt(),
                List.of(),
                PromptChain.DEFAULT_PIECE_BYTES,
                List.of(),
                "salt",
                settings.maxTokens(),
                0);
        String address = settings.addresses()
                .get((int) (request.number() % settings.addresses().size()));
        return new Call(
                "http://" + address + "/engine/generate", "", new String(WireJson.write(call), StandardCharsets.UTF_8));
    }

    @Override
    public List<StreamLine> parseLine(String line) throws IOException {
        if (line.startsWith(TOKEN_EVENT_START)) {
            int from = line.indexOf(TEXT_FIELD_START) + TEXT_FIELD_START.length();
            return List.of(StreamLine.token(line.substring(from, line.indexOf('"', from))));
        }
        if (!line.contains("\"finished\"")) {
            return List.of();
        }
        JsonNode usage = WireJson.mapper().readTree(line).path("usage");
        StreamLine usageLine = StreamLine.usage(
                usage.path("promptTokens").asLong(), usage.path("cachedTokens").asLong());
        return List.of(usageLine, StreamLine.END);
    }
}
