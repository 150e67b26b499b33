package org.cowslipbank.decision.relay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.relay.UpstreamServer;

/** Chooses the upstream of a request. */
public final class UpstreamChoice {
    /**
     * Share of an engine's memory that the requests of all nodes may fill before the next engine in the order takes
     * over; what runs longest still grows by its output.
     */
    static final double MEMORY_SHARE = 0.7;

    private UpstreamChoice() {}

    /**
     * What is known of a request when its upstream is chosen.
     *
     * @param key requests with the same key prefer the same engine; for plain services any text
     * @param dataCentre the node's data centre
     * @param tokens tokens of the prompt
     * @param capacityTokens tokens that fit into an engine, zero for plain services
     * @param nodes number of nodes that send to the same upstreams
     * @param excluded incarnations that the request has been sent to already
     * @param preferred tells which upstreams are taken first if one of them is available
     */
    public record Query(
            String key,
            String dataCentre,
            int tokens,
            long capacityTokens,
            int nodes,
            Set<String> excluded,
            Predicate<UpstreamServer> preferred) {}

    /**
     * Chooses an engine: the first in the key's order that is available and has room, so that a shared prompt is read
     * at few engines; without room anywhere, the one with the least work from this node.
     *
     * @param query the request
     * @param servers the engines of the service that take new work
     * @param loads what this node has seen of them
     * @param nowMillis the time in milliseconds
     * @return the engine, or empty if none should get a request now
     */
    public static Optional<UpstreamServer> engine(
            Query query, List<UpstreamServer> servers, UpstreamLoads loads, long nowMillis) {
        List<UpstreamServer> order =
                Rendezvous.top(query.key(), servers, UpstreamServer::address, servers.size()).stream()
                        .filter(server -> isOpen(query, server, loads, nowMillis))
                        .toList();
        Optional<UpstreamServer> roomy = order.stream()
                .filter(query.preferred())
                .filter(server -> hasRoom(query, server, loads))
                .findFirst()
                .or(() -> order.stream()
                        .filter(server -> hasRoom(query, server, loads))
                        .findFirst());
        return roomy.or(() ->
                order.stream().min(Comparator.comparingLong(server -> loads.tokensInFlight(server.incarnation()))));
    }

    /**
     * Chooses a server of a plain service: the one with the fewest requests from this node, at equal numbers one in the
     * node's data centre.
     *
     * @param query the request
     * @param servers the servers of the service that take new work
     * @param loads what this node has seen of them
     * @param nowMillis the time in milliseconds
     * @return the server, or empty if none should get a request now
     */
    public static Optional<UpstreamServer> plain(
            Query query, List<UpstreamServer> servers, UpstreamLoads loads, long nowMillis) {
        return Rendezvous.top(query.key(), servers, UpstreamServer::id, servers.size()).stream()
                .filter(server -> isOpen(query, server, loads, nowMillis))
                .min(Comparator.comparingInt((UpstreamServer server) -> loads.inFlight(server.incarnation()))
                        .thenComparing(server -> !server.dataCentre().equals(query.dataCentre())));
    }

    private static boolean isOpen(Query query, UpstreamServer server, UpstreamLoads loads, long nowMillis) {
        return !query.excluded().contains(server.incarnation()) && loads.isAvailable(server.incarnation(), nowMillis);
    }

    private static boolean hasRoom(Query query, UpstreamServer server, UpstreamLoads loads) {
        long ofAllNodes = loads.tokensInFlight(server.incarnation()) * Math.max(1, query.nodes());
        boolean idle = loads.inFlight(server.incarnation()) == 0;
        boolean free = loads.inFlight(server.incarnation()) * query.nodes() < server.slots();
        return idle || free && ofAllNodes + query.tokens() <= MEMORY_SHARE * query.capacityTokens() * spread(query);
    }

    // A node's own work, times the number of nodes, overstates the work of all: few nodes send long prompts at once.
    private static double spread(Query query) {
        return query.nodes() > 1 ? 2 : 1;
    }
}
