package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.relay.RelayConfiguration;
import org.cowslipbank.model.relay.RelayService;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.ServiceShare;

/** Look-up tables of one configuration. */
public final class RouteTable {
    /** Names of a host's prefix. */
    private record Prefix(String host, String path) {}

    private static final double HASH_RANGE = 0x1p53;
    private static final int HASH_SHIFT = 11;

    private final RelayConfiguration configuration;
    private final Map<Prefix, Route> routes = new HashMap<>();
    private final Map<String, RelayTeam> teams = new HashMap<>();
    private final Map<String, RelayService> services = new HashMap<>();

    /**
     * Creates the tables.
     *
     * @param configuration the configuration
     */
    public RouteTable(RelayConfiguration configuration) {
        this.configuration = configuration;
        configuration.routes().forEach(route -> routes.put(new Prefix(route.host(), route.pathPrefix()), route));
        configuration.teams().forEach(team -> team.keys().forEach(key -> teams.put(key, team)));
        configuration.services().forEach(service -> services.put(service.name(), service));
    }

    /**
     * Returns the configuration of these tables.
     *
     * @return the configuration
     */
    public RelayConfiguration configuration() {
        return configuration;
    }

    /**
     * Finds the route of a path: among the host's routes the one with the longest prefix.
     *
     * @param host the host in lower case, without a port
     * @param path the path without a query
     * @return the route, or empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        // Every prefix ends with a slash, so only the path's beginnings up to a slash can match.
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = routes.get(new Prefix(host, path.substring(0, slash + 1)));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the team that holds a key.
     *
     * @param key the key
     * @return the team, or empty if no team holds it
     */
    public Optional<RelayTeam> team(String key) {
        return Optional.ofNullable(teams.get(key));
    }

    /**
     * Tells whether requests carry keys.
     *
     * @return true if there are teams
     */
    public boolean hasTeams() {
        return !configuration.teams().isEmpty();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, or empty if there is none
     */
    public Optional<RelayService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Chooses the service of a request among those of its route, by weight. Requests with the same key get the same
     * service as long as the weights stay, so that their cache is found again.
     *
     * @param route the route
     * @param key what is hashed
     * @return the service's name, or empty if every weight is zero
     */
    public static Optional<String> serviceOf(Route route, String key) {
        double total =
                route.services().stream().mapToDouble(ServiceShare::weight).sum();
        double point = (Rendezvous.hash(key) >>> HASH_SHIFT) / HASH_RANGE * total;
        double passed = 0;
        String last = null;
        for (ServiceShare share : route.services()) {
            if (share.weight() <= 0) {
                continue;
            }
            passed += share.weight();
            last = share.service();
            if (point < passed) {
                break;
            }
        }
        return Optional.ofNullable(last);
    }
}
