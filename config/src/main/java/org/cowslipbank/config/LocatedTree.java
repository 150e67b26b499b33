package org.cowslipbank.config;

import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.model.ConfigurationException;

/** A JSON tree that knows the line of each of its values. */
final class LocatedTree {
    /** An error with its line, for sorting. */
    record Located(int line, ConfigurationException error) {}

    static final Comparator<Located> BY_LINE = Comparator.comparingInt(Located::line);

    private static final int MAX_DEPTH = 32;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_YAML_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build();

    private final String file;
    private final Map<String, Integer> lines = new HashMap<>();
    private JsonNode root;

    private LocatedTree(String file) {
        this.file = file;
    }

    static LocatedTree parse(String file, String text) throws ConfigurationException {
        LocatedTree tree = new LocatedTree(file);
        try (JsonParser parser = FACTORY.createParser(text)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                throw new ConfigurationException(file, 1, "$", "the text is empty; expected a JSON object");
            }
            tree.root = tree.read(parser, "$");
            if (parser.nextToken() != null) {
                int line = parser.currentTokenLocation().getLineNr();
                throw new ConfigurationException(file, line, "$", "expected the end of the text after the object");
            }
            return tree;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new ConfigurationException(file, line, "$", "not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigurationException(file, 0, "$", "cannot be read: " + e.getMessage());
        }
    }

    JsonNode root() {
        return root;
    }

    Located toException(Problem problem) {
        int line = line(problem.path());
        return new Located(line, new ConfigurationException(file, line, problem.path(), problem.expected()));
    }

    // A missing value has no line of its own; the nearest enclosing value that has one is named instead.
    private int line(String path) {
        String at = path;
        while (!at.isEmpty()) {
            Integer line = lines.get(at);
            if (line != null) {
                return line;
            }
            at = at.substring(0, Math.max(0, Math.max(at.lastIndexOf('.'), at.lastIndexOf('['))));
        }
        return 0;
    }

    private JsonNode read(JsonParser parser, String path) throws IOException, ConfigurationException {
        lines.put(path, parser.currentTokenLocation().getLineNr());
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser, path);
            case START_ARRAY -> readArray(parser, path);
            case VALUE_STRING -> JsonNodeFactory.instance.textNode(parser.getText());
            case VALUE_NUMBER_INT -> JsonNodeFactory.instance.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> JsonNodeFactory.instance.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> JsonNodeFactory.instance.booleanNode(true);
            case VALUE_FALSE -> JsonNodeFactory.instance.booleanNode(false);
            default -> JsonNodeFactory.instance.nullNode();
        };
    }

    private ObjectNode readObject(JsonParser parser, String path) throws IOException, ConfigurationException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            String childPath = path + "." + name;
            if (object.has(name)) {
                int line = parser.currentTokenLocation().getLineNr();
                throw new ConfigurationException(file, line, childPath, "the field is given twice; keep one");
            }
            parser.nextToken();
            object.set(name, read(parser, childPath));
        }
        return object;
    }

    private ArrayNode readArray(JsonParser parser, String path) throws IOException, ConfigurationException {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(read(parser, path + "[" + array.size() + "]"));
        }
        return array;
    }
}
