package org.cowslipbank.decision.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Namespace under which engines and stores keep prompt parts. It contains the weight version, so that a part computed
 * under another version is never found, and the group of teams that share it.
 */
public final class CacheScope {
    private static final char SEPARATOR = '/';

    private CacheScope() {}

    /**
     * Builds the scope of a model, weight version and group.
     *
     * @param model the model's name
     * @param version its weight version
     * @param group the group of {@link CacheSharing}
     * @return the scope
     */
    public static String of(String model, long version, String group) {
        return model + SEPARATOR + version + SEPARATOR + group;
    }

    /**
     * Extracts the weight version from a scope of a model.
     *
     * @param scope the scope
     * @param model the model's name
     * @return the version, or empty if the scope belongs to another model or does not have this format
     */
    public static OptionalLong version(String scope, String model) {
        String prefix = model + SEPARATOR;
        int end = scope.indexOf(SEPARATOR, prefix.length());
        if (!scope.startsWith(prefix) || end < 0) {
            return OptionalLong.empty();
        }
        String version = scope.substring(prefix.length(), end);
        return version.matches("[0-9]{1,18}") ? OptionalLong.of(Long.parseLong(version)) : OptionalLong.empty();
    }

    /**
     * Extracts the group from a scope of a model.
     *
     * @param scope the scope
     * @param model the model's name
     * @return the group of {@link CacheSharing}, or empty if the scope does not have this format
     */
    public static Optional<String> group(String scope, String model) {
        return version(scope, model).isEmpty()
                ? Optional.empty()
                : Optional.of(scope.substring(scope.indexOf(SEPARATOR, model.length() + 1) + 1));
    }
}
