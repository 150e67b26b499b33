package org.cowslipbank.decision.relay;

import java.util.OptionalLong;

/**
 * Namespace under which engines and stores keep prompt parts. It contains the weight version, so that a part computed
 * under another version is never found, and the team if the team is isolated.
 */
public final class CacheScope {
    private static final char SEPARATOR = '/';

    private CacheScope() {}

    /**
     * Builds the scope of a model, weight version and team.
     *
     * @param model the model's name
     * @param version its weight version
     * @param isolatedTeam the team's name if it shares no cached parts, otherwise an empty string
     * @return the scope
     */
    public static String of(String model, long version, String isolatedTeam) {
        return model + SEPARATOR + version + SEPARATOR + isolatedTeam;
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
}
