package org.cowslipbank.model.relay;

import java.util.List;

/**
 * One version of the operators' configuration.
 *
 * @param version its version; increases, not always by one
 * @param routes the routes
 * @param services the services, each a group of upstreams
 * @param stores the store VMs for cache blocks
 * @param requiresKeys whether requests must carry the bearer key of a team, except on anonymous routes; if so and there are no
 *     teams, no key is valid
 * @param teams the teams
 * @param limits size limits and timeouts for client requests
 */
public record RelayConfiguration(
        long version,
        List<Route> routes,
        List<RelayService> services,
        List<CacheStore> stores,
        boolean requiresKeys,
        List<RelayTeam> teams,
        ClientLimits limits) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public RelayConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        stores = List.copyOf(stores);
        teams = List.copyOf(teams);
    }
}
