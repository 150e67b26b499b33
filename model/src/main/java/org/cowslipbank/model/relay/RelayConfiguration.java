package org.cowslipbank.model.relay;

import java.util.List;

/**
 * One version of the operators' configuration.
 *
 * @param version its version; grows in uneven steps
 * @param routes the routes
 * @param services the services of upstreams
 * @param stores the stores of cache blocks
 * @param teams the teams; empty if requests carry no keys
 * @param limits what clients may send
 */
public record RelayConfiguration(
        long version,
        List<Route> routes,
        List<RelayService> services,
        List<CacheStore> stores,
        List<RelayTeam> teams,
        ClientLimits limits) {
    /** Copies the lists. */
    public RelayConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        stores = List.copyOf(stores);
        teams = List.copyOf(teams);
    }
}
