package org.cowslipbank.config;

/** The published JSON Schema of the configuration. */
public final class ConfigurationSchema {
    private ConfigurationSchema() {}

    /**
     * Returns the schema's text.
     *
     * @return a JSON Schema of draft 2020-12
     */
    public static String text() {
        return SchemaCheck.schemaText();
    }
}
