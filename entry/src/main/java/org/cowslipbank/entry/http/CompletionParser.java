package org.cowslipbank.entry.http;

import java.io.IOException;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;

/** Parses completion requests. Unsupported fields are refused, because ignoring them could change the answer. */
final class CompletionParser {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 32_768;
    // Sampling parameters and bookkeeping fields are accepted so that standard clients work, and are ignored.
    private static final Set<String> ACCEPTED_FIELDS = Set.of(
            "model",
            "prompt",
            "messages",
            "max_tokens",
            "max_completion_tokens",
            "stream",
            "stream_options",
            "prompt_cache_key",
            "temperature",
            "top_p",
            "seed",
            "user",
            "presence_penalty",
            "frequency_penalty",
            "metadata",
            "n");

    private CompletionParser() {}

    static CompletionCall parse(byte[] body, boolean chat) throws RefusedException {
        JsonNode root = readObject(body);
        checkFields(root);
        String prompt = chat ? chatPrompt(root.get("messages")) : textPrompt(root.get("prompt"));
        String model = requireText(root, "model");
        int separator = model.indexOf(':');
        String name = separator < 0 ? model : model.substring(0, separator);
        String adapter = separator < 0 ? "" : model.substring(separator + 1);
        boolean includeUsage = root.path("stream_options").path("include_usage").asBoolean(false);
        return new CompletionCall(
                chat,
                name,
                adapter,
                prompt,
                maxTokens(root),
                root.path("stream").asBoolean(false),
                includeUsage,
                root.path("prompt_cache_key").asText(""));
    }

    private static JsonNode readObject(byte[] body) throws RefusedException {
        try {
            JsonNode root = MAPPER.readTree(body);
            if (root == null || !root.isObject()) {
                throw invalid("invalid_json", "the body must be a JSON object");
            }
            return root;
        } catch (IOException e) {
            throw invalid("invalid_json", "the body is not valid JSON");
        }
    }

    private static void checkFields(JsonNode root) throws RefusedException {
        for (var fields = root.fieldNames(); fields.hasNext(); ) {
            String field = fields.next();
            if (!ACCEPTED_FIELDS.contains(field)) {
                throw invalid("unsupported_field", "field '" + field + "' is not supported");
            }
        }
        if (root.path("n").asInt(1) != 1) {
            throw invalid("unsupported_field", "field 'n' must be 1");
        }
    }

    private static int maxTokens(JsonNode root) throws RefusedException {
        JsonNode value = root.has("max_completion_tokens") ? root.get("max_completion_tokens") : root.get("max_tokens");
        if (value == null || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.isInt() || value.asInt() < 1 || value.asInt() > MAX_TOKENS_LIMIT) {
            throw invalid("invalid_max_tokens", "max_tokens must be from 1 to " + MAX_TOKENS_LIMIT);
        }
        return value.asInt();
    }

    private static String requireText(JsonNode root, String field) throws RefusedException {
        JsonNode value = root.get(field);
        if (value == null || !value.isTextual() || value.asText().isBlank()) {
            throw invalid("missing_field", "field '" + field + "' must be a text");
        }
        return value.asText();
    }

    private static String textPrompt(JsonNode prompt) throws RefusedException {
        if (prompt == null || !prompt.isTextual() || prompt.asText().isEmpty()) {
            throw invalid("missing_field", "field 'prompt' must be a text");
        }
        return prompt.asText();
    }

    private static String chatPrompt(JsonNode messages) throws RefusedException {
        if (messages == null || !messages.isArray() || messages.isEmpty()) {
            throw invalid("missing_field", "field 'messages' must be a list of messages");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            String role = requireText(message, "role");
            prompt.append("<|").append(role).append("|>\n");
            appendContent(prompt, message.get("content"));
            prompt.append('\n');
        }
        return prompt.append("<|assistant|>\n").toString();
    }

    private static void appendContent(StringBuilder prompt, JsonNode content) throws RefusedException {
        if (content != null && content.isTextual()) {
            prompt.append(content.asText());
            return;
        }
        if (content == null || !content.isArray()) {
            throw invalid("missing_field", "a message's 'content' must be a text or a list of text parts");
        }
        for (JsonNode part : content) {
            if (!"text".equals(part.path("type").asText())) {
                throw invalid("unsupported_field", "only text parts are supported in 'content'");
            }
            prompt.append(part.path("text").asText());
        }
    }

    private static RefusedException invalid(String code, String message) {
        return new RefusedException(ProcessingStep.PARSE, Refusal.invalid(400, code, message));
    }
}
