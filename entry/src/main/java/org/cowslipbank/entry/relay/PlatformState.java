package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.cowslipbank.decision.relay.FleetTree;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.relay.NamedVersion;
import org.cowslipbank.model.relay.PlatformRecord;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.PlatformDecoder;

/**
 * Builds the view of the platform from the items of the metadata store. Owned by the control thread.
 *
 * <p>Registrations run out while the store is away and are written again soon after its return. What vanished around an
 * outage is therefore kept for a moment after contact is back; without it every upstream would be given up at once.
 */
final class PlatformState {
    /** Time after contact is back in which registrations that ran out return, from the platform's pages. */
    static final long RETURN_MILLIS = 2_000;

    /**
     * Registrations that ran out during an outage are missing as soon as contact is back; one that ends later than this
     * was ended by its upstream.
     */
    static final long AFTER_OUTAGE_MILLIS = 1_000;

    /** Age that a version found at the start of the process counts as having: when it was named is not known. */
    static final long NAMED_BEFORE_START_MILLIS = 3_000;

    private final PlatformDecoder decoder;
    private final OwnItems items;
    private final DecisionLog log;
    private final Map<String, UpstreamServer> servers = new HashMap<>();
    private final Map<String, NamedVersion> versions = new HashMap<>();
    private final Map<String, RegisteredNode> nodes = new HashMap<>();
    private final Map<String, Set<String>> crashes = new HashMap<>();
    /** Vanished registrations with the time at which they are given up. */
    private final Map<String, Long> vanishedUntilMillis = new HashMap<>();

    private Optional<RouteTable> routes = Optional.empty();
    private Optional<OwnItems.Rollout> rollout = Optional.empty();
    private Optional<String> leader = Optional.empty();
    private FleetTree tree = FleetTree.EMPTY;
    private Map<String, RegisteredNode> treeNodes = Map.of();
    private int treeHubs;
    private long leaderRevision;
    private long revision;
    private long contactBackMillis = Long.MIN_VALUE / 2;

    PlatformState(PlatformDecoder decoder, OwnItems items, DecisionLog log) {
        this.decoder = decoder;
        this.items = items;
        this.log = log;
    }

    PlatformView view() {
        return new PlatformView(revision, routes, servers, versions, nodes, switching(), leader, copy(crashes), tree());
    }

    private FleetTree tree() {
        // A cache store holds so many calls at once; one place stays free for the call of a hub that is being replaced.
        int mostHubs = routes.map(table -> table.configuration().stores()).orElse(List.of()).stream()
                .mapToInt(store -> store.maxWaitingCalls() - 1)
                .min()
                .orElse(Integer.MAX_VALUE);
        if (!nodes.equals(treeNodes) || mostHubs != treeHubs) {
            treeNodes = Map.copyOf(nodes);
            treeHubs = mostHubs;
            tree = FleetTree.of(
                    nodes.values().stream()
                            .map(node -> new FleetTree.Node(node.name(), node.dataCentre(), node.linkBytesPerSecond()))
                            .toList(),
                    mostHubs);
        }
        return tree;
    }

    long contactBackMillis() {
        return contactBackMillis;
    }

    Optional<String> rolloutBy() {
        return rollout.map(OwnItems.Rollout::by);
    }

    // What a node announced that no longer leads is void; the engines would stay unused until the next announcement.
    private Set<String> switching() {
        return rollout.filter(known -> leader.filter(known.by()::equals).isPresent())
                .map(OwnItems.Rollout::serverIds)
                .orElse(Set.of());
    }

    long leaderRevision() {
        return leaderRevision;
    }

    void onContactBack(long atMillis) {
        contactBackMillis = Math.max(contactBackMillis, atMillis);
    }

    /** Takes a complete reading; what is not in it has vanished. */
    void onRange(List<StoreItem> all, long atRevision, long nowMillis) {
        if (atRevision < revision) {
            // A hub has told of later changes meanwhile.
            return;
        }
        Set<String> present = new HashSet<>();
        for (StoreItem item : all) {
            present.add(item.key());
            apply(item, nowMillis);
        }
        revision = Math.max(revision, atRevision);
        for (UpstreamServer server : List.copyOf(servers.values())) {
            boolean listed = all.stream().anyMatch(item -> item.key().endsWith("/" + server.id()));
            if (!listed) {
                onUnregistered(server.id(), nowMillis);
            }
        }
        for (String name : List.copyOf(nodes.keySet())) {
            if (!present.contains(items.nodeKey(name))) {
                onNodeGone(name, nowMillis);
            }
        }
        if (!present.contains(items.leaderKey())) {
            leader = Optional.empty();
            leaderRevision = 0;
        }
    }

    /** Takes changes; those that are known already, from the store or from a hub, are left out. */
    void onChanges(List<StoreItem> changed, long atRevision, long nowMillis) {
        long known = revision;
        changed.stream().filter(item -> item.revision() > known).forEach(item -> apply(item, nowMillis));
        revision = Math.max(revision, atRevision);
    }

    /** Gives up what vanished and did not return. */
    boolean expire(long nowMillis) {
        boolean changed = false;
        for (Map.Entry<String, Long> entry : Map.copyOf(vanishedUntilMillis).entrySet()) {
            if (nowMillis >= entry.getValue()) {
                vanishedUntilMillis.remove(entry.getKey());
                servers.remove(entry.getKey());
                nodes.remove(entry.getKey());
                log.state(LogFields.event("registration did not return").field("name", entry.getKey()));
                changed = true;
            }
        }
        return changed;
    }

    private void apply(StoreItem item, long nowMillis) {
        PlatformRecord decoded = decoder.decode(item);
        if (decoded instanceof PlatformRecord.Configured configured) {
            onConfigured(configured, item);
        } else if (decoded instanceof PlatformRecord.Registered registered) {
            onRegistered(registered.server());
        } else if (decoded instanceof PlatformRecord.Unregistered unregistered) {
            onUnregistered(unregistered.serverId(), nowMillis);
        } else if (decoded instanceof PlatformRecord.Named named) {
            onNamed(named.version().seenAt(revision == 0 ? nowMillis - NAMED_BEFORE_START_MILLIS : nowMillis));
        } else if (decoded instanceof PlatformRecord.Own own) {
            onOwn(own.item(), nowMillis);
        } else if (decoded instanceof PlatformRecord.Unreadable unreadable) {
            log.state(LogFields.event("item ignored")
                    .field("key", unreadable.key())
                    .field("reason", unreadable.reason()));
        }
    }

    private void onConfigured(PlatformRecord.Configured configured, StoreItem item) {
        long version = configured.configuration().version();
        long known = routes.map(table -> table.configuration().version()).orElse(Long.MIN_VALUE);
        if (version <= known) {
            return;
        }
        routes = Optional.of(new RouteTable(configured.configuration()));
        log.state(LogFields.event("configuration applied")
                .field("version", version)
                .field("before", known == Long.MIN_VALUE ? "none" : known)
                .field("storeRevision", item.revision())
                .field("routes", configured.configuration().routes().size()));
    }

    private void onRegistered(UpstreamServer server) {
        UpstreamServer known = servers.get(server.id());
        if (known != null && server.bornMillis() != 0 && server.bornMillis() < known.bornMillis()) {
            // An entry of an earlier incarnation that was written late.
            return;
        }
        vanishedUntilMillis.remove(server.id());
        servers.put(server.id(), server);
        if (known == null
                || !known.incarnation().equals(server.incarnation())
                || known.draining() != server.draining()) {
            log.state(LogFields.event(server.draining() ? "upstream draining" : "upstream ready")
                    .peer(server.address())
                    .field("server", server.id())
                    .field("service", server.service())
                    .field("versions", server.versionByModel()));
        }
    }

    private void onUnregistered(String id, long nowMillis) {
        UpstreamServer known = servers.get(id);
        if (known == null || vanishedUntilMillis.containsKey(id)) {
            return;
        }
        boolean keep = !known.draining() && isAroundOutage(nowMillis);
        log.state(LogFields.event("upstream unregistered")
                .peer(known.address())
                .field("server", id)
                .field("kept", keep));
        if (keep) {
            vanishedUntilMillis.put(id, contactBackMillis + RETURN_MILLIS);
        } else {
            servers.remove(id);
        }
    }

    private boolean isAroundOutage(long nowMillis) {
        return nowMillis - contactBackMillis < AFTER_OUTAGE_MILLIS;
    }

    private void onNamed(NamedVersion version) {
        NamedVersion known = versions.get(version.model());
        if (known == null || known.version() < version.version()) {
            versions.put(version.model(), version);
            log.state(LogFields.event("weight version named")
                    .field("model", version.model())
                    .field("version", version.version())
                    .field("storeRevision", version.revision()));
        }
    }

    private void onOwn(StoreItem item, long nowMillis) {
        try {
            applyOwn(item, nowMillis);
        } catch (IOException e) {
            log.state(LogFields.event("item ignored").field("key", item.key()).error(e));
        }
    }

    private void applyOwn(StoreItem item, long nowMillis) throws IOException {
        Optional<String> node = items.nodeName(item.key());
        if (node.isPresent()) {
            if (item.isRemoved()) {
                onNodeGone(node.get(), nowMillis);
            } else {
                vanishedUntilMillis.remove(node.get());
                nodes.put(node.get(), OwnItems.decodeNode(node.get(), item.value()));
            }
            return;
        }
        if (item.key().equals(items.leaderKey())) {
            leader = item.isRemoved() ? Optional.empty() : Optional.of(OwnItems.decodeText(item.value()));
            leaderRevision = item.isRemoved() ? 0 : item.revision();
            return;
        }
        if (item.key().equals(items.rolloutKey()) && !item.isRemoved()) {
            rollout = Optional.of(OwnItems.decodeRollout(item.value()));
            return;
        }
        items.crash(item.key()).ifPresent(crash -> onCrash(crash, item.isRemoved()));
    }

    private void onCrash(OwnItems.CrashName crash, boolean removed) {
        if (removed) {
            crashes.remove(crash.fingerprint());
        } else {
            crashes.computeIfAbsent(crash.fingerprint(), key -> new HashSet<>()).add(crash.incarnation());
        }
    }

    private void onNodeGone(String name, long nowMillis) {
        if (nodes.containsKey(name) && isAroundOutage(nowMillis)) {
            vanishedUntilMillis.putIfAbsent(name, contactBackMillis + RETURN_MILLIS);
        } else {
            nodes.remove(name);
        }
    }

    private static Map<String, Set<String>> copy(Map<String, Set<String>> source) {
        Map<String, Set<String>> copy = new HashMap<>();
        source.forEach((key, value) -> copy.put(key, Set.copyOf(value)));
        return copy;
    }
}
