package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.relay.ColdLimit;
import org.cowslipbank.model.relay.RelayConfiguration;
import org.cowslipbank.model.relay.RelayService;
import org.cowslipbank.model.relay.RelayTeam;
import org.cowslipbank.model.relay.Route;
import org.cowslipbank.model.relay.ServiceShare;

/** Index of the routes, teams and services of one configuration. */
public final class RouteTable {
    /** Key of a route. */
    private record RouteKey(String host, String path) {}

    private static final double HASH_RANGE = 0x1p53;
    private static final int HASH_SHIFT = 11;

    private final RelayConfiguration configuration;
    private final CacheSharing sharing;
    private final Map<RouteKey, Route> routes = new HashMap<>();
    private final Map<String, RelayTeam> teams = new HashMap<>();
    private final Map<String, RelayService> services = new HashMap<>();

    /**
     * Indexes a configuration.
     *
     * @param configuration the configuration
     */
    public RouteTable(RelayConfiguration configuration) {
        this.configuration = configuration;
        this.sharing = CacheSharing.of(configuration.teams());
        configuration.routes().forEach(route -> routes.put(new RouteKey(route.host(), route.pathPrefix()), route));
        addKeys(configuration.teams());
        configuration.services().forEach(service -> services.put(service.name(), service));
    }

    /** Adds the keys that identify one team: not the empty one, and none that two teams hold. */
    private void addKeys(List<RelayTeam> configured) {
        Set<String> ambiguous = new HashSet<>();
        for (RelayTeam team : configured) {
            for (String key : team.keys()) {
                RelayTeam other = teams.put(key, team);
                if (key.isEmpty() || other != null && !other.name().equals(team.name())) {
                    ambiguous.add(key);
                }
            }
        }
        teams.keySet().removeAll(ambiguous);
    }

    /**
     * Returns the indexed configuration.
     *
     * @return the configuration
     */
    public RelayConfiguration configuration() {
        return configuration;
    }

    /**
     * Returns which teams share cached prompt parts.
     *
     * @return the sharing
     */
    public CacheSharing sharing() {
        return sharing;
    }

    /**
     * Finds the host's route with the longest path prefix that matches.
     *
     * @param host the host in lower case, without a port
     * @param path the path without a query
     * @return the route, or empty if none matches
     */
    public Optional<Route> route(String host, String path) {
        // Every route prefix ends with a slash, so only prefixes of the path that end with a slash can match.
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = routes.get(new RouteKey(host, path.substring(0, slash + 1)));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the team of an API key.
     *
     * @param key the API key
     * @return the team, or empty if the key is unknown
     */
    public Optional<RelayTeam> team(String key) {
        return Optional.ofNullable(teams.get(key));
    }

    /**
     * Returns whether requests must carry an API key.
     *
     * @return true also if the configuration has no team any more, so that no key is valid
     */
    public boolean requiresKeys() {
        return configuration.requiresKeys();
    }

    /**
     * Finds a service by name.
     *
     * @param name the name
     * @return the service, or empty if the name is unknown
     */
    public Optional<RelayService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the limits for cold upstreams.
     *
     * @return the limits by service; services without a limit are left out
     */
    public Map<String, ColdLimit> coldLimits() {
        Map<String, ColdLimit> limits = new HashMap<>();
        services.forEach((name, service) -> {
            if (service.cold().isLimited()) {
                limits.put(name, service.cold());
            }
        });
        return limits;
    }

    /**
     * Chooses one of a route's services by weight. Requests with the same key get the same service while the weights
     * are unchanged, so that they find their cached prompt parts again.
     *
     * @param route the route
     * @param key affinity key of the request
     * @return the service's name, or empty if every weight is zero
     */
    public static Optional<String> chooseService(Route route, String key) {
        double total =
                route.services().stream().mapToDouble(ServiceShare::weight).sum();
        double point = (Rendezvous.hash(key) >>> HASH_SHIFT) / HASH_RANGE * total;
        double cumulativeWeight = 0;
        String chosen = null;
        for (ServiceShare share : route.services()) {
            if (share.weight() <= 0) {
                continue;
            }
            cumulativeWeight += share.weight();
            chosen = share.service();
            if (point < cumulativeWeight) {
                break;
            }
        }
        return Optional.ofNullable(chosen);
    }
}
