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

/** A parsed JSON text that records the line of each value by its path. */
final class LocatedTree {
    /** An error with its line, by which errors are sorted. */
    record LocatedError(int line, ConfigurationException error) {}

    static final Comparator<LocatedError> BY_LINE = Comparator.comparingInt(LocatedError::line);

    private static final int MAX_NESTING_DEPTH = 32;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_YAML_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build();

    private final String file;
    private final Map<String, Integer> linesByPath = new HashMap<>();
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
            throw new ConfigurationException(file, 0, "$", "cannot read configuration: " + e.getMessage());
        }
    }

    JsonNode root() {
        return root;
    }

    LocatedError locate(ConfigurationProblem problem) {
        int line = findLine(problem.path());
        return new LocatedError(line, new ConfigurationException(file, line, problem.path(), problem.message()));
    }

    // A missing value has no line; the line of the nearest enclosing value is used instead.
    private int findLine(String path) {
        String ancestor = path;
        while (!ancestor.isEmpty()) {
            Integer line = linesByPath.get(ancestor);
            if (line != null) {
                return line;
            }
            ancestor =
                    ancestor.substring(0, Math.max(0, Math.max(ancestor.lastIndexOf('.'), ancestor.lastIndexOf('['))));
        }
        return 0;
    }

    private JsonNode read(JsonParser parser, String path) throws IOException, ConfigurationException {
        linesByPath.put(path, parser.currentTokenLocation().getLineNr());
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
