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
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;

/**
 * Adds, replaces or removes one item of the configuration. Edits work on the JSON form, so that an item is parsed and
 * validated exactly as in a whole configuration.
 */
final class ItemEdits {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ItemEdits() {}

    static ConfigurationEdit put(String kind, String name, byte[] body) throws RefusedException {
        String list = listName(kind);
        JsonNode item = parse(body);
        String idField = identifierField(kind);
        if (!(item instanceof ObjectNode) || !name.equals(item.path(idField).asText())) {
            throw invalid(400, "name_mismatch", "the body must be an object whose '" + idField + "' is '" + name + "'");
        }
        return current -> {
            ObjectNode tree = ConfigurationCodec.write(current);
            ArrayNode items = tree.withArray(list);
            int position = indexOf(items, idField, name);
            if (position < 0) {
                items.add(item);
            } else {
                items.set(position, item);
            }
            return ConfigurationParser.parse("request", tree.toString());
        };
    }

    static ConfigurationEdit remove(String kind, String name) throws RefusedException {
        String list = listName(kind);
        String idField = identifierField(kind);
        return current -> {
            ObjectNode tree = ConfigurationCodec.write(current);
            ArrayNode items = tree.withArray(list);
            int position = indexOf(items, idField, name);
            if (position < 0) {
                throw new ConfigurationException("request", 0, "$." + list, "there is no '" + name + "' to remove");
            }
            items.remove(position);
            return ConfigurationParser.parse("request", tree.toString());
        };
    }

    private static String listName(String kind) throws RefusedException {
        return switch (kind) {
            case "teams", "models", "services", "upstreams", "stores" -> kind;
            default -> throw invalid(404, "unknown_kind", "there is no kind of item '" + kind + "'");
        };
    }

    private static String identifierField(String kind) {
        return kind.equals("models") || kind.equals("services") ? "name" : "id";
    }

    private static int indexOf(ArrayNode items, String idField, String name) {
        for (int i = 0; i < items.size(); i++) {
            if (items.get(i).path(idField).asText().equals(name)) {
                return i;
            }
        }
        return -1;
    }

    private static JsonNode parse(byte[] body) throws RefusedException {
        try {
            return MAPPER.readTree(new String(body, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw invalid(400, "invalid_json", "the body is not valid JSON");
        }
    }

    private static RefusedException invalid(int status, String code, String message) {
        return new RefusedException(ProcessingStep.CONFIGURE, Refusal.invalid(status, code, message));
    }
}
