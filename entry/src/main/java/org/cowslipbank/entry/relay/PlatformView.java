package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cowslipbank.decision.relay.CacheScopeUse;
import org.cowslipbank.decision.relay.ColdUpstreams;
import org.cowslipbank.decision.relay.FleetTree;
import org.cowslipbank.decision.relay.NamedVersions;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.decision.relay.UpstreamSelector;
import org.cowslipbank.decision.suspects.CrashVerdicts;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Immutable snapshot of the platform's state as a node knows it.
 *
 * @param revision revision of the metadata store up to which changes are applied
 * @param routes the configuration in force, empty before the first one
 * @param servers registered upstreams by identifier
 * @param activeByService upstreams that accept new requests, by service
 * @param usableByService those of them to which requests may be sent, because their data centre is not evacuated
 * @param evacuated names of the data centres that are evacuated
 * @param versions weight versions named by the operators, by model
 * @param nodes registered nodes by name
 * @param switchingEngines identifiers of the engines that are about to load weights
 * @param leader value of the leader key, empty without a leader
 * @param crashes what is suspected of crashing upstreams
 * @param tree hubs of the fleet and the members of their groups
 * @param scopeUse since when cache scopes are in use
 * @param cold until when upstreams are cold, as far as the metadata store tells
 */
public record PlatformView(
        long revision,
        Optional<RouteTable> routes,
        Map<String, UpstreamServer> servers,
        Map<String, List<UpstreamServer>> activeByService,
        Map<String, List<UpstreamServer>> usableByService,
        Set<String> evacuated,
        Map<String, NamedVersions> versions,
        Map<String, RegisteredNode> nodes,
        Set<String> switchingEngines,
        Optional<String> leader,
        CrashVerdicts crashes,
        FleetTree tree,
        CacheScopeUse.Snapshot scopeUse,
        ColdUpstreams.Known cold) {
    /** The view before the first answer of the metadata store. */
    static final PlatformView EMPTY = new PlatformView(
            0,
            Optional.empty(),
            Map.of(),
            Map.of(),
            Map.of(),
            Set.of(),
            Map.of(),
            Map.of(),
            Set.of(),
            Optional.empty(),
            CrashVerdicts.NONE,
            FleetTree.EMPTY,
            CacheScopeUse.Snapshot.NOTHING_KNOWN,
            ColdUpstreams.Known.NONE);

    /**
     * Makes unmodifiable copies of the collections; null elements, keys and values are rejected with
     * NullPointerException.
     */
    public PlatformView {
        servers = Map.copyOf(servers);
        activeByService = Map.copyOf(activeByService);
        usableByService = Map.copyOf(usableByService);
        evacuated = Set.copyOf(evacuated);
        versions = Map.copyOf(versions);
        nodes = Map.copyOf(nodes);
        switchingEngines = Set.copyOf(switchingEngines);
    }

    /**
     * A node that has registered itself.
     *
     * @param name its name
     * @param address its address for clients as {@code IP:port}
     * @param dataCentre its data centre
     * @param digestAddress its UDP address for load digests as {@code IP:port}
     * @param feedAddress its address for polls by members of its group as {@code IP:port}
     * @param forwardingAddress its address for requests that other nodes pass on, as {@code IP:port}; empty text for a
     *     node of an earlier release
     * @param linkBytesPerSecond rate of its network link in bytes per second
     * @param processorCores processor time that it gets, in seconds of a reference core per second, zero if not known
     * @param cutOff true if it reaches no upstream
     */
    public record RegisteredNode(
            String name,
            String address,
            String dataCentre,
            String digestAddress,
            String feedAddress,
            String forwardingAddress,
            long linkBytesPerSecond,
            double processorCores,
            boolean cutOff) {
        /**
         * Returns the same node with another state of its links to the upstreams.
         *
         * @param isCutOff true if it reaches no upstream
         * @return the node
         */
        RegisteredNode withCutOff(boolean isCutOff) {
            return new RegisteredNode(
                    name,
                    address,
                    dataCentre,
                    digestAddress,
                    feedAddress,
                    forwardingAddress,
                    linkBytesPerSecond,
                    processorCores,
                    isCutOff);
        }
    }

    /**
     * Groups the upstreams that accept new requests by service.
     *
     * @param servers the registered upstreams; of several with the same address only the one that started last counts
     * @return the upstreams by service
     */
    static Map<String, List<UpstreamServer>> activeByService(Collection<UpstreamServer> servers) {
        Map<String, UpstreamServer> byAddress = new HashMap<>();
        for (UpstreamServer server : servers) {
            byAddress.merge(
                    server.address(),
                    server,
                    (left, right) -> left.startedAtMillis() >= right.startedAtMillis() ? left : right);
        }
        Map<String, List<UpstreamServer>> active = new HashMap<>();
        for (UpstreamServer server : byAddress.values()) {
            if (!server.draining()) {
                active.computeIfAbsent(server.service(), key -> new ArrayList<>())
                        .add(server);
            }
        }
        return active;
    }

    /**
     * Leaves out the upstreams in evacuated data centres.
     *
     * @param activeByService upstreams that accept new requests, by service
     * @param evacuated names of the data centres
     * @return the same map if nothing is evacuated
     */
    static Map<String, List<UpstreamServer>> usableByService(
            Map<String, List<UpstreamServer>> activeByService, Set<String> evacuated) {
        if (evacuated.isEmpty()) {
            return activeByService;
        }
        Map<String, List<UpstreamServer>> usable = new HashMap<>();
        activeByService.forEach((service, servers) -> usable.put(
                service,
                servers.stream()
                        .filter(server -> !evacuated.contains(server.dataCentre()))
                        .toList()));
        return usable;
    }

    /**
     * Returns the services with many engines, in which kinds and teams that are underserved go first. In smaller fleets each
     * node sees most of the demand, and an order by time alone serves every kind well.
     *
     * @return names of the services
     */
    Set<String> largeServices() {
        Set<String> large = new HashSet<>();
        activeByService.forEach((service, upstreams) -> {
            if (UpstreamSelector.isLarge(upstreams)) {
                large.add(service);
            }
        });
        return large;
    }

    /**
     * Returns the upstreams of a service that accept new requests.
     *
     * @param service the service's name
     * @return the upstreams
     */
    List<UpstreamServer> activeServers(String service) {
        return activeByService.getOrDefault(service, List.of());
    }

    /**
     * Returns the upstreams of a service to which requests may be sent.
     *
     * @param service the service's name
     * @return the active upstreams outside of the evacuated data centres
     */
    List<UpstreamServer> usableServers(String service) {
        return usableByService.getOrDefault(service, List.of());
    }

    /**
     * Returns the same state at a later revision.
     *
     * @param later the revision
     * @return the view
     */
    PlatformView withRevision(long later) {
        return new PlatformView(
                later,
                routes,
                servers,
                activeByService,
                usableByService,
                evacuated,
                versions,
                nodes,
                switchingEngines,
                leader,
                crashes,
                tree,
                scopeUse,
                cold);
    }

    /**
     * Returns whether the leader is a certain node.
     *
     * @param node the node's name
     * @return true if the leader key names it
     */
    boolean isLedBy(String node) {
        return leader.filter(id -> id.startsWith(node + NodeLease.LEASE_SEPARATOR))
                .isPresent();
    }

    /**
     * Returns the incarnations of all registered upstreams.
     *
     * @return the incarnations
     */
    Set<String> incarnations() {
        Set<String> incarnations = new HashSet<>();
        servers.values().forEach(server -> incarnations.add(server.incarnation()));
        return incarnations;
    }
}
