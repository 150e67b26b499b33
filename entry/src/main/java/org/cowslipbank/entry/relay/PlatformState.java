package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.cowslipbank.decision.relay.CacheScopeUse;
import org.cowslipbank.decision.relay.CacheScopeUse.FreeDelays;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.FleetTree;
import org.cowslipbank.decision.relay.NamedVersions;
import org.cowslipbank.decision.relay.ReportSource;
import org.cowslipbank.decision.relay.RestoreSettling;
import org.cowslipbank.decision.relay.RouteTable;
import org.cowslipbank.decision.relay.SoftwareVersions;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.decision.suspects.CrashEvidence;
import org.cowslipbank.decision.suspects.CrashVerdicts;
import org.cowslipbank.decision.suspects.RefusalProbes;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.relay.PlatformRecord;
import org.cowslipbank.model.relay.RelayConfiguration;
import org.cowslipbank.model.relay.ServiceShare;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.model.relay.TargetVersion;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.PlatformDecoder;

/**
 * Builds the {@link PlatformView} from the items of the metadata store. Owned by the control thread.
 *
 * <p>During an outage of the metadata store registrations expire, and are written again soon after it. Registrations that
 * vanish around an outage are therefore kept for a while after contact is regained; otherwise all upstreams would be
 * dropped at once.
 */
final class PlatformState {
    /** Time after an outage within which expired registrations are written again; stated by the platform. */
    static final long REREGISTRATION_MILLIS = 2_000;

    /**
     * Registrations that expired during an outage are missing as soon as contact is regained. One that is removed later
     * than this was removed by its upstream.
     */
    static final long OUTAGE_EXPIRY_MILLIS = 1_000;

    /** Assumed age of a weight version found in the first reading; when it was named is not known. */
    static final long INITIAL_VERSION_AGE_MILLIS = 3_000;

    private final PlatformDecoder decoder;
    private final NodeItems items;
    private final StreamOrigins origins;
    private final RefusalProbes probes;
    private final DecisionLog log;
    private final Map<String, UpstreamServer> servers = new HashMap<>();
    private final Map<String, NamedVersions> versions = new HashMap<>();
    private final Map<String, RegisteredNode> nodes = new HashMap<>();
    private final CrashEvidence crashes = new CrashEvidence();
    private final RegistrationHistory registrations = new RegistrationHistory();
    private final CacheScopeUse scopeUse;
    private final RestoreSettling settling = new RestoreSettling();
    private final PlacementRestrictions restrictions;
    /** Time in milliseconds at which a vanished registration is dropped, by name of the upstream or node. */
    private final Map<String, Long> dropVanishedAtMillis = new HashMap<>();

    /** Records of software versions that the store has, by key. */
    private final Map<String, SoftwareRecord> softwareRecords = new HashMap<>();

    private Optional<RouteTable> routes = Optional.empty();
    private Set<String> streamServices = Set.of();
    private long era;
    /** Latest revision in the last reading of all items; its later pages may be newer than the reading's revision. */
    private long readAheadRevision;

    private OptionalLong markedStreamsEra = OptionalLong.empty();
    /** Registrations since the software versions were recorded last; some may have been removed again. */
    private final List<UpstreamServer> unrecorded = new ArrayList<>();

    private Optional<NodeItems.RolloutAnnouncement> rollout = Optional.empty();
    private Optional<String> leader = Optional.empty();
    private FleetTree tree = FleetTree.EMPTY;
    private Map<String, RegisteredNode> treeNodes = Map.of();
    private int treeMaxHubs;
    private long leaderRevision;
    private long revision;
    private long configurationRevision;
    private long restoredAtRevision;
    private boolean configurationKnownBeforeRestore;
    private long reconnectedMillis = Long.MIN_VALUE / 2;
    private PlatformView lastView = PlatformView.EMPTY;
    private boolean viewOutdated = true;
    private boolean upstreamsChanged;

    /**
     * The store's record of a software version.
     *
     * @param key its key
     * @param version the version
     * @param revision revision of its last change
     */
    record SoftwareRecord(String key, SoftwareVersions.Version version, long revision) {}

    /**
     * Creates a state without any item.
     *
     * @param decoder decodes items of the platform
     * @param items keys and decoding of the nodes' items
     * @param origins where streams began
     * @param probes requests that test refused prompt parts
     * @param log the structured log
     * @param knowledgeValidMillis longest time for which nodes fetch cached parts by an earlier state, in milliseconds
     * @param wallMillis returns the time of day in Unix milliseconds
     */
    PlatformState(
            PlatformDecoder decoder,
            NodeItems items,
            StreamOrigins origins,
            RefusalProbes probes,
            DecisionLog log,
            long knowledgeValidMillis,
            LongSupplier wallMillis) {
        this.decoder = decoder;
        this.items = items;
        this.origins = origins;
        this.probes = probes;
        this.log = log;
        this.restrictions = new PlacementRestrictions(wallMillis, log);
        this.scopeUse = new CacheScopeUse(FreeDelays.of(knowledgeValidMillis, REREGISTRATION_MILLIS));
    }

    /** Returns whether more than the revision has changed since the last snapshot was taken. */
    boolean hasChanged() {
        return viewOutdated;
    }

    /** Records which software versions of the services with resumable streams are registered. */
    void recordSoftwareVersions(long nowMillis) {
        Map<String, Map<String, Long>> versions = new HashMap<>();
        streamServices.forEach(service -> versions.put(service, new HashMap<>()));
        addVersions(versions, servers.values());
        if (!servers.values().containsAll(unrecorded)) {
            // An upstream that has left meanwhile may have begun streams.
            Map<String, Map<String, Long>> passed = new HashMap<>();
            versions.forEach((service, registered) -> passed.put(service, new HashMap<>(registered)));
            addVersions(passed, unrecorded);
            passed.forEach((service, seen) -> origins.onRegistered(service, seen, nowMillis));
        }
        unrecorded.clear();
        // A service without resumable routes needs no records; a version that is kept as registered would never expire.
        origins.versions().services().forEach(service -> versions.putIfAbsent(service, Map.of()));
        versions.forEach((service, registered) -> origins.onRegistered(service, registered, nowMillis));
    }

    /**
     * Records that the items applied so far were the newest state of the store.
     *
     * @param atMillis the time in milliseconds for which that holds
     * @param missedMillis time in milliseconds since the previous confirmation, zero if there was none
     */
    void onConfirmed(long atMillis, long missedMillis) {
        origins.versions().onConfirmed(atMillis, missedMillis);
    }

    private void addVersions(Map<String, Map<String, Long>> versions, Collection<UpstreamServer> upstreams) {
        for (UpstreamServer server : upstreams) {
            Map<String, Long> ofService = versions.get(server.service());
            if (ofService != null) {
                ofService.merge(server.softwareVersion(), registrations.sinceRevision(server), Math::min);
            }
        }
    }

    /** Returns a snapshot; one that differs from the previous one in the revision alone shares its content. */
    PlatformView view() {
        if (viewOutdated) {
            viewOutdated = false;
            Map<String, List<UpstreamServer>> activeByService = PlatformView.activeByService(servers.values());
            Set<String> evacuated = restrictions.evacuated();
            lastView = new PlatformView(
                    revision,
                    routes,
                    servers,
                    activeByService,
                    PlatformView.usableByService(activeByService, evacuated),
                    evacuated,
                    versions,
                    nodes,
                    switchingEngines(),
                    leader,
                    crashVerdicts(),
                    tree(),
                    scopeUse.snapshot(),
                    restrictions.cold(activeByService.values()));
        } else if (lastView.revision() != revision) {
            lastView = lastView.withRevision(revision);
        }
        return lastView;
    }

    private FleetTree tree() {
        // Each hub occupies one of the calls that a cache store lets wait; one stays free for a hub's replacement.
        int maxHubs = routes.map(table -> table.configuration().stores()).orElse(List.of()).stream()
                .mapToInt(store -> store.maxWaitingCalls() - 1)
                .min()
                .orElse(Integer.MAX_VALUE);
        if (!nodes.equals(treeNodes) || maxHubs != treeMaxHubs) {
            treeNodes = Map.copyOf(nodes);
            treeMaxHubs = maxHubs;
            tree = FleetTree.of(
                    nodes.values().stream()
                            .map(node -> new FleetTree.Node(node.name(), node.dataCentre(), node.linkBytesPerSecond()))
                            .toList(),
                    maxHubs);
        }
        return tree;
    }

    long reconnectedMillis() {
        return reconnectedMillis;
    }

    Optional<String> rolloutAnnouncer() {
        return rollout.map(NodeItems.RolloutAnnouncement::by);
    }

    // An announcement is void once its node is no longer the leader; else the engines would stay unused.
    private Set<String> switchingEngines() {
        return rollout.filter(known -> leader.filter(known.by()::equals).isPresent())
                .map(NodeItems.RolloutAnnouncement::serverIds)
                .orElse(Set.of());
    }

    long leaderRevision() {
        return leaderRevision;
    }

    void onReconnected(long atMillis) {
        reconnectedMillis = Math.max(reconnectedMillis, atMillis);
    }

    /**
     * Applies a complete reading of the store; registrations that are not in it have vanished.
     *
     * @param range the reading
     * @param revisionAtSend revision up to which changes had been applied when the store was asked
     * @param missedMillis for how long changes may have been missed, in milliseconds
     * @param nowMillis the time in milliseconds
     * @return true if the store was restored from a copy since the last reading
     */
    boolean applySnapshot(MetadataStore.Range range, long revisionAtSend, long missedMillis, long nowMillis) {
        long atRevision = range.revision();
        if (atRevision < revision && atRevision >= revisionAtSend) {
            // A hub has already delivered later changes.
            return false;
        }
        List<StoreItem> all = range.items();
        boolean restored = settling.onRead(range.era(), markedEra(all), nowMillis);
        boolean firstReading = revision == 0;
        era = range.era();
        markedStreamsEra = OptionalLong.empty();
        if (restored) {
            // What is missing now is written again, as after an outage.
            onReconnected(nowMillis);
            restoredAtRevision = atRevision;
            configurationKnownBeforeRestore = routes.isPresent();
            log.logState(LogFields.event("metadata store was restored from a copy")
                    .field("era", range.era())
                    .field("markedEra", markedEra(all).orElse(-1))
                    .field("storeRevision", atRevision)
                    .field("revisionBefore", revision));
        } else if (atRevision < revision) {
            onReconnected(nowMillis);
            log.logState(LogFields.event("metadata store has lost changes")
                    .field("storeRevision", atRevision)
                    .field("revisionBefore", revision));
        }
        viewOutdated = true;
        boolean lostChanges = restored || atRevision < revision;
        scopeUse.onCompleteReading(lostChanges ? Long.MAX_VALUE : missedMillis, nowMillis);
        restrictions.onReadingBegun(lostChanges, nowMillis);
        Set<String> present = new HashSet<>();
        for (StoreItem item : all) {
            present.add(item.key());
            apply(item, nowMillis);
        }
        revision = atRevision;
        readAheadRevision = all.stream().mapToLong(StoreItem::revision).max().orElse(atRevision);
        restrictions.onReadingEnded(atRevision, nowMillis);
        if (firstReading && markedStreamsEra.isPresent() && markedStreamsEra.getAsLong() < era) {
            // No node has marked that it knows the versions from before the restore.
            origins.onReportsLost(nowMillis);
        }
        softwareRecords.keySet().retainAll(present);
        origins.versions()
                .onAllRecordsRead(
                        softwareRecords.values().stream()
                                .collect(
                                        Collectors.toMap(SoftwareRecord::version, SoftwareRecord::revision, Math::max)),
                        lostChanges);
        for (UpstreamServer server : List.copyOf(servers.values())) {
            boolean listed = all.stream().anyMatch(item -> item.key().endsWith("/" + server.id()));
            if (!listed) {
                onUnregistered(server.id(), nowMillis);
            }
        }
        recordUpstreams(nowMillis);
        for (String name : List.copyOf(nodes.keySet())) {
            if (!present.contains(items.nodeKey(name))) {
                onNodeUnregistered(name, nowMillis);
            }
        }
        if (!present.contains(items.leaderKey())) {
            leader = Optional.empty();
            leaderRevision = 0;
        }
        return restored;
    }

    private OptionalLong markedEra(List<StoreItem> all) {
        for (StoreItem item : all) {
            if (item.key().equals(items.completeEraKey()) && !item.isRemoved()) {
                return NodeItems.decodeEra(item.value());
            }
        }
        return OptionalLong.empty();
    }

    /**
     * Returns whether the readings tell the newest state.
     *
     * @param nowMillis the time in milliseconds
     * @return false while writes that a restore of the store has lost may be missing
     */
    boolean isSettled(long nowMillis) {
        return settling.isSettled(nowMillis);
    }

    /**
     * Returns whether the store has the mark that it holds all writes of its era.
     *
     * @return true if the last reading had it, or it was written since
     */
    boolean isEraMarked() {
        return settling.isMarked();
    }

    /**
     * Returns the era of the store that should be marked as complete.
     *
     * @param nowMillis the time in milliseconds
     * @return the era, or empty if there is nothing to mark
     */
    OptionalLong eraToMark(long nowMillis) {
        return settling.eraToMark(nowMillis);
    }

    /**
     * Records that the era of the store was marked as complete.
     *
     * @param era the era
     */
    void onEraMarked(long era) {
        settling.onMarked(era);
    }

    /**
     * Returns the era of the store that should be marked as one in which the software versions of all streams are known.
     *
     * @param nowMillis the time in milliseconds
     * @return the era, or empty if it is marked, or versions may be missing
     */
    OptionalLong streamsEraToMark(long nowMillis) {
        boolean marked = markedStreamsEra.isPresent() && markedStreamsEra.getAsLong() >= era;
        boolean known = isSettled(nowMillis) && !origins.isUncertain(nowMillis);
        return !marked && known ? OptionalLong.of(era) : OptionalLong.empty();
    }

    /**
     * Returns the records of software versions that are no longer needed.
     *
     * @param nowMillis the time in milliseconds
     * @return the records of versions at which no stream can be taken up any more
     */
    List<SoftwareRecord> expiredSoftwareRecords(long nowMillis) {
        return softwareRecords.values().stream()
                .filter(known -> origins.versions().hasExpired(known.version(), nowMillis))
                .toList();
    }

    /**
     * Returns whether an earlier leader may be missing in the store, because it was restored.
     *
     * @return true if a restore is known
     */
    boolean isRestored() {
        return settling.isRestored();
    }

    /**
     * Applies changes; those already known from the store or from a hub are skipped.
     *
     * @return the changes that differ from what was known; the heartbeats of upstreams do not
     */
    List<StoreItem> applyChanges(List<StoreItem> changed, long atRevision, long nowMillis) {
        List<StoreItem> different = new ArrayList<>();
        for (StoreItem item : changed) {
            if (item.revision() <= revision) {
                continue;
            }
            boolean differs = apply(item, nowMillis);
            // What the reading had already differed then, and members do not have it.
            if (differs || item.revision() <= readAheadRevision) {
                different.add(item);
                recordChangedUpstreams(nowMillis);
            }
        }
        if (configurationKnownBeforeRestore && configurationRevision > restoredAtRevision) {
            settling.onConfigurationWritten(nowMillis);
        }
        revision = Math.max(revision, atRevision);
        viewOutdated |= !different.isEmpty();
        return different;
    }

    /**
     * Drops registrations that vanished and were not written again, and reports on crashes that no longer count.
     *
     * @param nowMillis the time in milliseconds
     * @return true if there were any
     */
    boolean dropExpired(long nowMillis) {
        boolean changed = crashes.dropExpired(nowMillis) | restrictions.dropExpired(revision, nowMillis);
        viewOutdated |= changed;
        for (Map.Entry<String, Long> entry : Map.copyOf(dropVanishedAtMillis).entrySet()) {
            if (nowMillis >= entry.getValue()) {
                dropVanishedAtMillis.remove(entry.getKey());
                servers.remove(entry.getKey());
                nodes.remove(entry.getKey());
                log.logState(LogFields.event("registration did not return").field("name", entry.getKey()));
                changed = true;
                viewOutdated = true;
                upstreamsChanged = true;
            }
        }
        recordChangedUpstreams(nowMillis);
        return changed;
    }

    /** Called for each item, so that a version that is registered for a moment is not missed. */
    private void recordChangedUpstreams(long nowMillis) {
        if (upstreamsChanged) {
            recordUpstreams(nowMillis);
        }
    }

    private void recordUpstreams(long nowMillis) {
        upstreamsChanged = false;
        Map<Boolean, List<UpstreamServer>> byKept = servers.values().stream()
                .collect(Collectors.partitioningBy(server -> dropVanishedAtMillis.containsKey(server.id())));
        scopeUse.onUpstreams(byKept.get(false), byKept.get(true), nowMillis);
    }

    /** Returns false for a heartbeat of an upstream, which changes nothing that is known, and for an item that fails. */
    private boolean apply(StoreItem item, long nowMillis) {
        try {
            return applyDecoded(item, nowMillis);
        } catch (RuntimeException | StackOverflowError e) {
            // The watch would fail at this item again and again.
            log.logState(LogFields.event("unexpected error in item; ignored")
                    .field("key", item.key())
                    .error(e));
            return false;
        }
    }

    private boolean applyDecoded(StoreItem item, long nowMillis) {
        PlatformRecord decoded = decoder.decode(item);
        if (decoded instanceof PlatformRecord.Registered registered) {
            UpstreamServer server = registered.server();
            if (!registrations.isNew(registered, item.revision(), servers.containsKey(server.id()))) {
                return false;
            }
            registrations.onAccepted(server, item, revision == 0);
            boolean coldChanged = restrictions.onRegistered(registered, item.revision(), revision == 0, nowMillis);
            return onRegistered(server, nowMillis) | coldChanged;
        }
        if (decoded instanceof PlatformRecord.Configured configured) {
            onConfigured(configured, item, nowMillis);
        } else if (decoded instanceof PlatformRecord.Unregistered unregistered) {
            onUnregistered(unregistered.serverId(), nowMillis);
        } else if (decoded instanceof PlatformRecord.VersionNamed named) {
            onVersionNamed(named.version(), nowMillis);
        } else if (decoded instanceof PlatformRecord.Evacuation evacuation) {
            restrictions.onEvacuation(evacuation, item.revision(), nowMillis);
        } else if (decoded instanceof PlatformRecord.NodeItem own) {
            onNodeItem(own.item(), nowMillis);
        } else if (decoded instanceof PlatformRecord.Unreadable unreadable) {
            log.logState(LogFields.event("item ignored")
                    .field("key", unreadable.key())
                    .field("reason", unreadable.reason()));
        }
        return true;
    }

    private void onConfigured(PlatformRecord.Configured configured, StoreItem item, long nowMillis) {
        RelayConfiguration configuration = configured.configuration();
        Optional<RelayConfiguration> known = routes.map(RouteTable::configuration);
        long knownVersion = known.map(RelayConfiguration::version).orElse(Long.MIN_VALUE);
        if (configuration.version() < knownVersion) {
            // Only a store that was restored from a copy has an older one; it is written again.
            log.logState(LogFields.event("configuration older than the known one; ignored")
                    .field("version", configuration.version())
                    .field("known", knownVersion)
                    .field("storeRevision", item.revision()));
            return;
        }
        configurationRevision = item.revision();
        // A configuration that a restore has lost may have had the number of another one, so content is compared as
        // well.
        if (known.filter(configuration::equals).isPresent()) {
            return;
        }
        RouteTable table = new RouteTable(configuration);
        routes = Optional.of(table);
        scopeUse.onConfigured(table.sharing(), nowMillis);
        restrictions.setColdLimits(table.coldLimits());
        streamServices = configuration.routes().stream()
                .filter(route -> route.isStream() && route.resumable())
                .flatMap(route -> route.services().stream().map(ServiceShare::service))
                .collect(Collectors.toSet());
        log.logState(LogFields.event("configuration applied")
                .field("version", configuration.version())
                .field("before", known.isEmpty() ? "none" : knownVersion)
                .field("storeRevision", item.revision())
                .field("routes", configuration.routes().size()));
    }

    private boolean onRegistered(UpstreamServer server, long nowMillis) {
        UpstreamServer known = servers.get(server.id());
        boolean vanished = dropVanishedAtMillis.containsKey(server.id());
        if (server.equals(known) && !vanished) {
            return false;
        }
        if (known != null && server.startedAtMillis() != 0 && server.startedAtMillis() < known.startedAtMillis()) {
            // A late write of an earlier incarnation.
            return false;
        }
        dropVanishedAtMillis.remove(server.id());
        servers.put(server.id(), server);
        if (known == null || !known.incarnation().equals(server.incarnation())) {
            origins.onStarted(server.id(), server.softwareVersion(), nowMillis);
        }
        upstreamsChanged = true;
        unrecorded.add(server);
        if (known == null
                || !known.incarnation().equals(server.incarnation())
                || known.draining() != server.draining()) {
            log.logState(LogFields.event(server.draining() ? "upstream draining" : "upstream ready")
                    .peer(server.address())
                    .field("server", server.id())
                    .field("service", server.service())
                    .field("softwareVersion", server.softwareVersion())
                    .field("versions", server.versionByModel()));
        }
        return true;
    }

    private void onUnregistered(String id, long nowMillis) {
        UpstreamServer known = servers.get(id);
        if (known == null || dropVanishedAtMillis.containsKey(id)) {
            return;
        }
        boolean keep = !known.draining() && isAroundOutage(nowMillis);
        log.logState(LogFields.event("upstream unregistered")
                .peer(known.address())
                .field("server", id)
                .field("kept", keep));
        upstreamsChanged = true;
        if (keep) {
            dropVanishedAtMillis.put(id, reconnectedMillis + REREGISTRATION_MILLIS);
        } else {
            servers.remove(id);
        }
    }

    private boolean isAroundOutage(long nowMillis) {
        return nowMillis - reconnectedMillis < OUTAGE_EXPIRY_MILLIS;
    }

    private void onVersionNamed(TargetVersion version, long nowMillis) {
        boolean firstReading = revision == 0;
        NamedVersions.Name name = new NamedVersions.Name(
                version.version(), firstReading ? nowMillis - INITIAL_VERSION_AGE_MILLIS : nowMillis, !firstReading);
        NamedVersions known = versions.get(version.model());
        NamedVersions updated = known == null ? NamedVersions.of(version.model(), name) : known.with(name);
        if (updated != known) {
            versions.put(version.model(), updated);
            log.logState(LogFields.event("weight version named")
                    .field("model", version.model())
                    .field("version", version.version())
                    .field("storeRevision", version.revision()));
        }
    }

    /**
     * Takes over what another node knows about a weight version of a model that is known here.
     *
     * @param modelHash {@link FleetLoads#shortHash} of the model's name
     * @param told the version with its time on this node's clock
     * @return true if the node did not know it
     */
    boolean onVersionTold(int modelHash, NamedVersions.Name told) {
        for (NamedVersions known : List.copyOf(versions.values())) {
            NamedVersions updated = FleetLoads.shortHash(known.model()) == modelHash ? known.withTold(told) : known;
            if (updated != known) {
                versions.put(known.model(), updated);
                viewOutdated = true;
                log.logState(LogFields.event("time of a weight version told by another node")
                        .field("model", known.model())
                        .field("version", told.version())
                        .field("namedAtMillis", told.atMillis()));
                return true;
            }
        }
        return false;
    }

    private void onNodeItem(StoreItem item, long nowMillis) {
        try {
            applyNodeItem(item, nowMillis);
        } catch (IOException e) {
            log.logState(
                    LogFields.event("item ignored").field("key", item.key()).error(e));
        }
    }

    private void applyNodeItem(StoreItem item, long nowMillis) throws IOException {
        Optional<String> node = items.parseNodeName(item.key());
        if (node.isPresent()) {
            if (item.isRemoved()) {
                onNodeUnregistered(node.get(), nowMillis);
            } else {
                dropVanishedAtMillis.remove(node.get());
                nodes.put(node.get(), NodeItems.decodeNode(node.get(), item.value()));
            }
            return;
        }
        if (item.key().equals(items.leaderKey())) {
            leader = item.isRemoved() ? Optional.empty() : Optional.of(NodeItems.decodeText(item.value()));
            leaderRevision = item.isRemoved() ? 0 : item.revision();
            return;
        }
        if (items.isOriginsKey(item.key())) {
            if (!item.isRemoved()) {
                ReportSource source = items.parseOriginsKey(item.key(), item.revision());
                NodeItems.decodeOrigins(item.value()).forEach(report -> origins.onReport(report, source, nowMillis));
            }
            return;
        }
        if (items.isSoftwareKey(item.key())) {
            onSoftwareRecord(item, nowMillis);
            return;
        }
        if (item.key().equals(items.completeStreamsEraKey())) {
            markedStreamsEra = item.isRemoved() ? OptionalLong.empty() : NodeItems.decodeEra(item.value());
            return;
        }
        if (item.key().equals(items.completeEraKey())) {
            if (!item.isRemoved()) {
                NodeItems.decodeEra(item.value()).ifPresent(settling::onMarked);
            }
            return;
        }
        if (item.key().equals(items.rolloutKey()) && !item.isRemoved()) {
            rollout = Optional.of(NodeItems.decodeRollout(item.value()));
            return;
        }
        // Reports count for a fixed time from when they were read; their leases may expire early in an outage.
        if (!item.isRemoved()) {
            applyCrashItem(item, nowMillis);
        }
    }

    private void onSoftwareRecord(StoreItem item, long nowMillis) throws IOException {
        if (item.isRemoved()) {
            Optional.ofNullable(softwareRecords.remove(item.key()))
                    .ifPresent(known -> origins.versions().onRecordRemoved(known.version()));
            return;
        }
        SoftwareVersions.Version version = NodeItems.decodeSoftware(item.value());
        softwareRecords.put(item.key(), new SoftwareRecord(item.key(), version, item.revision()));
        origins.onRecorded(version, item.revision(), nowMillis);
    }

    private void applyCrashItem(StoreItem item, long nowMillis) throws IOException {
        Optional<NodeItems.CrashKey> crash = items.parseCrashKey(item.key());
        if (crash.isPresent()) {
            crashes.addReport(
                    crash.get().incarnation(), NodeItems.decodeSuspects(item.value()), item.revision(), nowMillis);
        } else if (items.isSoundKey(item.key())) {
            crashes.addSound(NodeItems.decodeNumbers(item.value()));
        } else if (items.isProbesKey(item.key())) {
            probes.onTold(NodeItems.decodeNumbers(item.value()), nowMillis);
        }
    }

    /**
     * Clears suspects of crashes, because answers of this node with them went on well.
     *
     * @param revisionBySuspect for each suspect the revision that was known at that time
     */
    void onSoundAnswers(Map<String, Long> revisionBySuspect) {
        crashes.addOwnSound(revisionBySuspect);
        viewOutdated |= !lastView.crashes().refused().isEmpty();
    }

    private CrashVerdicts crashVerdicts() {
        CrashVerdicts verdicts = crashes.verdicts();
        Set<String> refusedBefore = lastView.crashes().refused();
        if (!verdicts.refused().equals(refusedBefore)) {
            log.logState(LogFields.event("causes of upstream crashes changed")
                    .field("refused", verdicts.refused())
                    .field("before", refusedBefore)
                    .field("storeRevision", revision));
        }
        return verdicts;
    }

    private void onNodeUnregistered(String name, long nowMillis) {
        if (nodes.containsKey(name) && isAroundOutage(nowMillis)) {
            dropVanishedAtMillis.putIfAbsent(name, reconnectedMillis + REREGISTRATION_MILLIS);
        } else {
            nodes.remove(name);
        }
    }
}
