package org.cowslipbank.decision.relay;

import java.util.OptionalLong;

/**
 * Name under which engines and stores keep the parts of prompts. It holds the weight version, so that a part that was
 * made under another one is never found, and the team where the team is isolated.
 */
public final class CacheScope {
    private static final char SEPARATOR = '/';

    private CacheScope() {}

    /**
     * Returns a scope.
     *
     * @param model the model's name
     * @param version its weight version
     * @param isolatedTeam the team's name if it shares nothing, else an empty text
     * @return the scope
     */
    public static String of(String model, long version, String isolatedTeam) {
        return model + SEPARATOR + version + SEPARATOR + isolatedTeam;
    }

    /**
     * Returns the version in a scope of a model.
     *
     * @param scope the scope
     * @param model the model's name
     * @return the version, or empty if the scope is of another model or of another writer
     */
    public static OptionalLong version(String scope, String model) {
        String start = model + SEPARATOR;
        int end = scope.indexOf(SEPARATOR, start.length());
        if (!scope.startsWith(start) || end < 0) {
            return OptionalLong.empty();
        }
        String version = scope.substring(start.length(), end);
        return version.matches("[0-9]{1,18}") ? OptionalLong.of(Long.parseLong(version)) : OptionalLong.empty();
    }
}
