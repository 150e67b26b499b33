package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cowslipbank.decision.relay.FleetTree;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.model.relay.NamedVersion;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * What a node knows of the platform, as one immutable snapshot.
 *
 * @param revision revision of the metadata store up to which changes are known
 * @param routes the configuration in force, empty before the first one
 * @param servers registered upstreams by identifier
 * @param versions named weight versions by model
 * @param nodes registered nodes by name
 * @param switching engines that are about to load weights
 * @param leader the node that holds the lease for orders, empty if none does
 * @param crashes fingerprints of requests with the incarnations that they crashed
 * @param tree which nodes ask the stores for others
 */
public record PlatformView(
        long revision,
        Optional<RouteTable> routes,
        Map<String, UpstreamServer> servers,
        Map<String, NamedVersion> versions,
        Map<String, RegisteredNode> nodes,
        Set<String> switching,
        Optional<String> leader,
        Map<String, Set<String>> crashes,
        FleetTree tree) {
    /** A view before anything is known. */
    static final PlatformView EMPTY = new PlatformView(
            0, Optional.empty(), Map.of(), Map.of(), Map.of(), Set.of(), Optional.empty(), Map.of(), FleetTree.EMPTY);

    /** Copies the collections. */
    public PlatformView {
        servers = Map.copyOf(servers);
        versions = Map.copyOf(versions);
        nodes = Map.copyOf(nodes);
        switching = Set.copyOf(switching);
        crashes = Map.copyOf(crashes);
    }

    /**
     * A node that has registered itself.
     *
     * @param name its name
     * @param address its address for clients as {@code IP:port}
     * @param dataCentre its data centre
     * @param digestAddress its address for digests of other nodes as {@code IP:port}
     * @param feedAddress its address for the questions of its group's members as {@code IP:port}
     * @param linkBytesPerSecond rate of its link in bytes a second
     */
    public record RegisteredNode(
            String name,
            String address,
            String dataCentre,
            String digestAddress,
            String feedAddress,
            long linkBytesPerSecond) {}

    /**
     * Returns the upstreams of a service that take new work.
     *
     * @param service the service's name
     * @return the upstreams; where two claim the same address, the one born last
     */
    List<UpstreamServer> serving(String service) {
        Map<String, UpstreamServer> byAddress = new HashMap<>();
        for (UpstreamServer server : servers.values()) {
            byAddress.merge(
                    server.address(), server, (left, right) -> left.bornMillis() >= right.bornMillis() ? left : right);
        }
        List<UpstreamServer> serving = new ArrayList<>();
        for (UpstreamServer server : byAddress.values()) {
            if (server.service().equals(service) && !server.draining()) {
                serving.add(server);
            }
        }
        return serving;
    }

    /**
     * Returns the names of all incarnations.
     *
     * @return the names
     */
    Set<String> incarnations() {
        Set<String> names = new HashSet<>();
        servers.values().forEach(server -> names.add(server.incarnation()));
        return names;
    }
}
