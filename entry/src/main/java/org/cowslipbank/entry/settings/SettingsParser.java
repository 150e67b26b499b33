package org.cowslipbank.entry.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.cowslipbank.model.ConfigurationException;

/** Parses settings from JSON with comments. Unknown fields are errors, so that misspelt ones are not ignored. */
public final class SettingsParser {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private SettingsParser() {}

    /**
     * Reads a settings file.
     *
     * @param <T> the settings' type
     * @param file the file
     * @param type the settings' class
     * @return the settings
     * @throws ConfigurationException if the file cannot be read or its settings are invalid
     */
    public static <T> T read(Path file, Class<T> type) throws ConfigurationException {
        try {
            return MAPPER.readValue(Files.readString(file), type);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            String path = e instanceof JsonMappingException mapping ? jsonPath(mapping) : "$";
            throw new ConfigurationException(file.toString(), line, path, e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigurationException(
                    file.toString(), 0, "$", "cannot read the settings file: " + e.getMessage());
        }
    }

    private static String jsonPath(JsonMappingException error) {
        StringBuilder path = new StringBuilder("$");
        error.getPath()
                .forEach(step -> path.append(
                        step.getFieldName() == null ? "[" + step.getIndex() + "]" : "." + step.getFieldName()));
        return path.toString();
    }
}
