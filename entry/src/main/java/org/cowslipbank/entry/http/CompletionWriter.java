package org.cowslipbank.entry.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.cowslipbank.decision.streams.FinishedRun;
import org.cowslipbank.entry.traffic.AnswerEvent;
import org.cowslipbank.model.Refusal;

/** Encodes answers in the format of the HTTP API for callers, as one JSON body or as server-sent events. */
final class CompletionWriter {
    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final CompletionCall call;
    private final String id;
    private final long createdSeconds;
    private final byte[] tokenPrefix;
    private final byte[] tokenSuffix;

    CompletionWriter(CompletionCall call, String id, long createdSeconds) {
        this.call = call;
        this.id = id;
        this.createdSeconds = createdSeconds;
        String head = "data: {\"id\":\"" + id + "\",\"object\":\"" + chunkObject() + "\",\"created\":" + createdSeconds
                + ",\"model\":" + quoted(modelName()) + ",\"choices\":[{\"index\":0,";
        String field = call.chat() ? "\"delta\":{\"content\":\"" : "\"text\":\"";
        String tail = call.chat() ? "\"}" : "\"";
        this.tokenPrefix = (head + field).getBytes(StandardCharsets.UTF_8);
        this.tokenSuffix = (tail + ",\"finish_reason\":null}]}\n\n").getBytes(StandardCharsets.UTF_8);
    }

    // Only the text differs between the tokens of an answer, so the rest of the event is encoded once.
    ByteBuf tokenEvent(String text) {
        byte[] encoded = JsonStringEncoder.getInstance().quoteAsUTF8(text);
        ByteBuf buffer = Unpooled.buffer(tokenPrefix.length + encoded.length + tokenSuffix.length);
        return buffer.writeBytes(tokenPrefix).writeBytes(encoded).writeBytes(tokenSuffix);
    }

    ByteBuf finalEvents(AnswerEvent.Done done) {
        ObjectNode last = chunk();
        last.withArray("choices").add(finalChoice(done, JsonNodeFactory.instance.objectNode()));
        StringBuilder events = new StringBuilder("data: ").append(last).append("\n\n");
        if (call.includeUsage()) {
            ObjectNode usage = chunk();
            usage.putArray("choices");
            usage.set("usage", usage(done.run()));
            events.append("data: ").append(usage).append("\n\n");
        }
        return Unpooled.wrappedBuffer(events.toString().getBytes(StandardCharsets.UTF_8), DONE_EVENT);
    }

    ByteBuf errorEvent(Refusal refusal) {
        String event = "data: " + ErrorBody.toJson(refusal) + "\n\n";
        return Unpooled.wrappedBuffer(event.getBytes(StandardCharsets.UTF_8));
    }

    ObjectNode wholeBody(String text, AnswerEvent.Done done) {
        ObjectNode body = chunk();
        body.put("object", call.chat() ? "chat.completion" : "text_completion");
        ObjectNode message = JsonNodeFactory.instance.objectNode();
        message.put("role", "assistant");
        message.put("content", text);
        ObjectNode choice = finalChoice(done, message);
        if (!call.chat()) {
            choice.put("text", text);
        }
        body.withArray("choices").add(choice);
        body.set("usage", usage(done.run()));
        return body;
    }

    private ObjectNode finalChoice(AnswerEvent.Done done, ObjectNode message) {
        ObjectNode choice = JsonNodeFactory.instance.objectNode();
        choice.put("index", 0);
        if (call.chat()) {
            choice.set(message.isEmpty() ? "delta" : "message", message);
        } else {
            choice.put("text", "");
        }
        choice.put("finish_reason", done.run().reason());
        return choice;
    }

    private ObjectNode chunk() {
        ObjectNode chunk = JsonNodeFactory.instance.objectNode();
        chunk.put("id", id);
        chunk.put("object", chunkObject());
        chunk.put("created", createdSeconds);
        chunk.put("model", modelName());
        return chunk;
    }

    private String modelName() {
        return call.adapter().isEmpty() ? call.model() : call.model() + ":" + call.adapter();
    }

    private String chunkObject() {
        return call.chat() ? "chat.completion.chunk" : "text_completion";
    }

    private static ObjectNode usage(FinishedRun usage) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("prompt_tokens", usage.promptTokens());
        node.put("completion_tokens", usage.completionTokens());
        node.put("total_tokens", usage.promptTokens() + usage.completionTokens());
        node.putObject("prompt_tokens_details").put("cached_tokens", usage.cachedTokens());
        return node;
    }

    private static String quoted(String text) {
        return JsonNodeFactory.instance.textNode(text).toString();
    }
}
