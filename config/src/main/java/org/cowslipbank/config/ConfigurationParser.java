package org.cowslipbank.config;

import java.util.List;

import org.cowslipbank.model.ConfigurationException;

/**
 * Parses and checks the operators' configuration: JSON with {@code //}, {@code /* *}{@code /} and {@code #} comments
 * and trailing commas. The text is only read, never rewritten, so comments survive a check.
 */
public final class ConfigurationParser {
    private ConfigurationParser() {}

    /**
     * Parses a configuration and checks it as a whole.
     *
     * @param file name of the file or source, used in messages
     * @param text the configuration's text
     * @return the configuration
     * @throws ConfigurationException the first problem by line, with file, line, path and what would be right
     */
    public static Configuration parse(String file, String text) throws ConfigurationException {
        LocatedTree tree = LocatedTree.parse(file, text);
        throwFirst(SchemaCheck.problems(tree), tree);
        Configuration configuration = ConfigurationCodec.read(tree.root());
        throwFirst(ConfigurationChecks.problems(configuration), tree);
        return configuration;
    }

    /**
     * Checks a configuration and returns every problem found. Problems between sections are only looked for once the
     * structure is right.
     *
     * @param file name of the file or source, used in messages
     * @param text the configuration's text
     * @return the problems in order of their lines, empty if the configuration is right
     */
    public static List<ConfigurationException> check(String file, String text) {
        try {
            LocatedTree tree = LocatedTree.parse(file, text);
            List<Problem> problems = SchemaCheck.problems(tree);
            if (problems.isEmpty()) {
                problems = ConfigurationChecks.problems(ConfigurationCodec.read(tree.root()));
            }
            return problems.stream()
                    .map(tree::toException)
                    .sorted(LocatedTree.BY_LINE)
                    .map(LocatedTree.Located::error)
                    .toList();
        } catch (ConfigurationException e) {
            return List.of(e);
        }
    }

    private static void throwFirst(List<Problem> problems, LocatedTree tree) throws ConfigurationException {
        if (problems.isEmpty()) {
            return;
        }
        throw problems.stream()
                .map(tree::toException)
                .min(LocatedTree.BY_LINE)
                .orElseThrow()
                .error();
    }
}
