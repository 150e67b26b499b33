package org.cowslipbank.config;

import java.util.List;

import org.cowslipbank.model.ConfigurationException;

/**
 * Parses and validates the operators' configuration: JSON with {@code //}, {@code /* *}{@code /} and {@code #} comments
 * and trailing commas. The text itself is never rewritten, so its comments are kept.
 */
public final class ConfigurationParser {
    private ConfigurationParser() {}

    /**
     * Parses a configuration and validates its structure and references.
     *
     * @param file name of the file or source, used in messages
     * @param text the configuration's text
     * @return the configuration
     * @throws ConfigurationException the first problem by line, with file, line, path and the expected value
     */
    public static Configuration parse(String file, String text) throws ConfigurationException {
        LocatedTree tree = LocatedTree.parse(file, text);
        throwFirst(SchemaCheck.findProblems(tree), tree);
        Configuration configuration = ConfigurationCodec.read(tree.root());
        throwFirst(ConfigurationChecks.findProblems(configuration), tree);
        return configuration;
    }

    /**
     * Validates a configuration and returns all problems found. References between sections are only checked if the
     * structure is valid.
     *
     * @param file name of the file or source, used in messages
     * @param text the configuration's text
     * @return the problems ordered by line, empty if the configuration is valid
     */
    public static List<ConfigurationException> check(String file, String text) {
        try {
            LocatedTree tree = LocatedTree.parse(file, text);
            List<ConfigurationProblem> problems = SchemaCheck.findProblems(tree);
            if (problems.isEmpty()) {
                problems = ConfigurationChecks.findProblems(ConfigurationCodec.read(tree.root()));
            }
            return problems.stream()
                    .map(tree::locate)
                    .sorted(LocatedTree.BY_LINE)
                    .map(LocatedTree.LocatedError::error)
                    .toList();
        } catch (ConfigurationException e) {
            return List.of(e);
        }
    }

    private static void throwFirst(List<ConfigurationProblem> problems, LocatedTree tree)
            throws ConfigurationException {
        if (problems.isEmpty()) {
            return;
        }
        throw problems.stream()
                .map(tree::locate)
                .min(LocatedTree.BY_LINE)
                .orElseThrow()
                .error();
    }
}
