package org.cowslipbank.entry.admin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.config.ConfigurationCodec;
import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.config.ConfigurationParser;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.Step;

/**
 * Edits of one item of the configuration. They work on the configuration's JSON form, so that each kind of item is
 * read and checked exactly as in a whole configuration.
 */
final class ItemEdits {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ItemEdits() {}

    static ConfigurationEdit put(String kind, String name, byte[] body) throws RefusedException {
        String list = listOf(kind);
        JsonNode item = read(body);
        String identifier = identifierOf(kind);
        if (!(item instanceof ObjectNode) || !name.equals(item.path(identifier).asText())) {
            throw invalid(
                    400, "name_mismatch", "the body must be an object whose '" + identifier + "' is '" + name + "'");
        }
        return current -> {
            ObjectNode tree = ConfigurationCodec.write(current);
            ArrayNode items = tree.withArray(list);
            int at = indexOf(items, identifier, name);
            if (at < 0) {
                items.add(item);
            } else {
                items.set(at, item);
            }
            return ConfigurationParser.parse("request", tree.toString());
        };
    }

    static ConfigurationEdit remove(String kind, String name) throws RefusedException {
        String list = listOf(kind);
        String identifier = identifierOf(kind);
        return current -> {
            ObjectNode tree = ConfigurationCodec.write(current);
            ArrayNode items = tree.withArray(list);
            int at = indexOf(items, identifier, name);
            if (at < 0) {
                throw new ConfigurationException("request", 0, "$." + list, "there is no '" + name + "' to remove");
            }
            items.remove(at);
            return ConfigurationParser.parse("request", tree.toString());
        };
    }

    private static String listOf(String kind) throws RefusedException {
        return switch (kind) {
            case "teams", "models", "services", "upstreams", "stores" -> kind;
            default -> throw invalid(404, "unknown_kind", "there is no kind of item '" + kind + "'");
        };
    }

    private static String identifierOf(String kind) {
        return kind.equals("models") || kind.equals("services") ? "name" : "id";
    }

    private static int indexOf(ArrayNode items, String identifier, String name) {
        for (int i = 0; i < items.size(); i++) {
            if (items.get(i).path(identifier).asText().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private static JsonNode read(byte[] body) throws RefusedException {
        try {
            return MAPPER.readTree(new String(body, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw invalid(400, "invalid_json", "the body is not valid JSON");
        }
    }

    private static RefusedException invalid(int status, String code, String message) {
        return new RefusedException(Step.CONFIGURE, Refusal.invalid(status, code, message));
    }
}
