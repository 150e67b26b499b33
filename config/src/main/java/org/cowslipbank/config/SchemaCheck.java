package org.cowslipbank.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;

/** Checks the structure of a configuration against the published JSON Schema. */
final class SchemaCheck {
    private static final String RESOURCE = "configuration.schema.json";
    private static final JsonNode SCHEMA_TREE = readSchema();
    private static final JsonSchema SCHEMA = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
            .getSchema(
                    SCHEMA_TREE,
                    SchemaValidatorsConfig.builder()
                            .pathType(PathType.JSON_PATH)
                            .build());

    private SchemaCheck() {}

    static String schemaText() {
        try (InputStream in = SchemaCheck.class.getResourceAsStream(RESOURCE)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read resource " + RESOURCE, e);
        }
    }

    static List<ConfigurationProblem> findProblems(LocatedTree tree) {
        return SCHEMA.validate(tree.root()).stream().map(SchemaCheck::toProblem).toList();
    }

    private static ConfigurationProblem toProblem(ValidationMessage message) {
        String path = message.getInstanceLocation().toString();
        if (message.getProperty() != null && "additionalProperties".equals(message.getType())) {
            path = path + "." + message.getProperty();
        }
        String detail = message.getMessage();
        String prefix = message.getInstanceLocation() + ": ";
        String stripped = detail.startsWith(prefix) ? detail.substring(prefix.length()) : detail;
        String expected = expectedDescription(message);
        return new ConfigurationProblem(path, expected.isEmpty() ? stripped : stripped + "; expected " + expected);
    }

    // The failed keyword's parent is the subschema whose description tells which value is expected.
    private static String expectedDescription(ValidationMessage message) {
        String pointer = message.getSchemaLocation().getFragment().toString();
        int parentEnd = pointer.lastIndexOf('/');
        if (parentEnd < 0) {
            return SCHEMA_TREE.path("description").asText();
        }
        return SCHEMA_TREE
                .at(pointer.substring(0, parentEnd))
                .path("description")
                .asText();
    }

    private static JsonNode readSchema() {
        try {
            return new ObjectMapper().readTree(schemaText());
        } catch (IOException e) {
            throw new UncheckedIOException("resource " + RESOURCE + " is not valid JSON", e);
        }
    }
}
