package org.cowslipbank.config;

import java.util.List;

import org.cowslipbank.model.TeamId;

/**
 * A team with its bearer keys, limits and permissions.
 *
 * @param id the team's identifier
 * @param keySha256 SHA-256 of each bearer key in lower-case hexadecimal; the keys themselves are never stored
 * @param limits the team's limits
 * @param models names of the models the team may use
 * @param services names of the plain services the team may call
 * @param homeRegion region whose key-value service holds the team's claims
 */
public record Team(
        TeamId id,
        List<String> keySha256,
        TeamLimits limits,
        List<String> models,
        List<String> services,
        String homeRegion) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public Team {
        keySha256 = List.copyOf(keySha256);
        models = List.copyOf(models);
        services = List.copyOf(services);
    }
}
