package org.cowslipbank.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Difference between two configurations as human-readable lines: {@code + teams.x} for an added entry, {@code - teams.x}
 * for a removed one and {@code teams.x.limits.weight: 1.0 -> 2.0} for a changed value. Entries are matched by
 * identifier, so their order does not matter; the revision is ignored.
 */
public final class ConfigurationDifference {
    private final List<String> lines = new ArrayList<>();

    private ConfigurationDifference() {}

    /**
     * Compares two configurations.
     *
     * @param before the earlier one
     * @param after the later one
     * @return one line for each difference, ordered by path; empty if there is none
     */
    public static List<String> between(Configuration before, Configuration after) {
        ConfigurationDifference difference = new ConfigurationDifference();
        difference.addDifferences("", ConfigurationCodec.write(before), ConfigurationCodec.write(after));
        return List.copyOf(difference.lines);
    }

    private void addDifferences(String path, JsonNode before, JsonNode after) {
        if (before.equals(after)) {
            return;
        }
        if (before.isObject() && after.isObject()) {
            addFieldDifferences(path, fieldsWithoutRevision(before), fieldsWithoutRevision(after));
            return;
        }
        if (hasKeyedEntries(before) && hasKeyedEntries(after)) {
            addFieldDifferences(path, entriesByKey(before), entriesByKey(after));
            return;
        }
        lines.add(path + ": " + before + " -> " + after);
    }

    private void addFieldDifferences(String path, Map<String, JsonNode> before, Map<String, JsonNode> after) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            String childPath = path.isEmpty() ? name : path + "." + name;
            if (!before.containsKey(name)) {
                lines.add("+ " + childPath);
            } else if (!after.containsKey(name)) {
                lines.add("- " + childPath);
            } else {
                addDifferences(childPath, before.get(name), after.get(name));
            }
        }
    }

    private static Map<String, JsonNode> fieldsWithoutRevision(JsonNode node) {
        Map<String, JsonNode> fields = new LinkedHashMap<>();
        ((ObjectNode) node).properties().forEach(field -> fields.put(field.getKey(), field.getValue()));
        fields.remove("revision");
        return fields;
    }

    private static boolean hasKeyedEntries(JsonNode node) {
        return node.isArray() && (node.isEmpty() || !keyOf(node.get(0)).isEmpty());
    }

    private static Map<String, JsonNode> entriesByKey(JsonNode node) {
        Map<String, JsonNode> entries = new LinkedHashMap<>();
        node.forEach(entry -> entries.put(keyOf(entry), entry));
        return entries;
    }

    private static String keyOf(JsonNode entry) {
        for (String field : List.of("id", "name", "weightVersion")) {
            if (entry.has(field)) {
                return entry.get(field).asText();
            }
        }
        return "";
    }
}
