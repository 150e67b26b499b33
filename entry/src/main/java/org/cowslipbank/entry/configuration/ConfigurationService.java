package org.cowslipbank.entry.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.decision.configuration.AuditChunk;
import org.cowslipbank.decision.configuration.AuditRecord;
import org.cowslipbank.decision.configuration.ConfigurationRoot;
import org.cowslipbank.decision.configuration.ConfigurationShards;
import org.cowslipbank.decision.configuration.ServingState;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Keeps the configuration of one node up to date and makes operators' changes.
 *
 * <p>The scheduler's single thread owns the state. Traffic threads read a snapshot through {@link #current()}
 * and {@link #mayServe(long)}.
 */
public final class ConfigurationService {
    private static final Logger LOG = LogManager.getLogger(ConfigurationService.class);
    private static final long TICK_MILLIS = 500;
    private static final long PAUSE_THRESHOLD_MILLIS = 2_000;
    // With four watch responses per staleness bound, one lost response does not make the node refuse new work.
    private static final int WATCHES_PER_BOUND = 4;
    private static final double WATCH_JITTER = 0.2;
    private static final long RESPONSE_MARGIN_MILLIS = 1_000;
    private static final long WATCH_RETRY_MILLIS = 250;
    private static final int MAX_RETRY_DOUBLINGS = 3;
    private static final long PEER_FETCH_DELAY_MILLIS = 300;
    private static final int MAX_REMEMBERED_PEERS = 64;
    private static final long SHARD_REFETCH_MILLIS = 500;
    // A starting node learns of its first peers within a probe interval; without waiting for them it would read
    // all shards from the platform.
    private static final long FIRST_PEER_WAIT_MILLIS = 1_500;

    private record Snapshot(Configuration configuration, ServingState state) {}

    private record PendingRoot(ConfigurationRoot root, byte[] bytes, long inForceAtMillis) {}

    private final ConfigurationNode node;
    private final KeyValueStore store;
    private final ValueFetcher fetcher;
    private final Scheduler scheduler;
    private final Random random;
    private final ShardSource source;
    private final ChangeWriter writer;
    private final DataCentreRevisions dataCentreRevisions;
    private volatile Snapshot snapshot = new Snapshot(Configurations.empty(), ServingState.START);
    private volatile ConfigurationRoot root = ConfigurationRoot.EMPTY;

    // Only the scheduler's thread uses the fields below.
    private final ShardCache shards = new ShardCache();
    private final Map<VmId, Long> peers = new LinkedHashMap<>();
    private byte[] rootBytes;
    private PendingRoot pendingRoot;
    private boolean fetching;
    private long rootVersion = KeyValueStore.ABSENT;
    private boolean rootEverRead;
    private int watchFailures;
    private long lastTickMillis;
    private long startedMillis;
    private boolean closed;
    private Disposable watchSubscription = () -> {};

    /**
     * Creates a service; it does nothing before {@link #start()}.
     *
     * @param node identity and settings
     * @param stores budgeted views of the home region's key-value service
     * @param fetcher fetches the root and shards from peers
     * @param scheduler a scheduler with a single thread, which owns the state; its clock gives the monotonic time
     * @param seed seed of the jitter and of the choice of peers
     */
    public ConfigurationService(
            ConfigurationNode node, ConfigurationStores stores, ValueFetcher fetcher, Scheduler scheduler, long seed) {
        this.node = node;
        this.store = stores.follow();
        this.fetcher = fetcher;
        this.scheduler = scheduler;
        this.random = new Random(seed);
        this.source = new ShardSource(stores.follow(), fetcher, scheduler, random);
        this.dataCentreRevisions = new DataCentreRevisions(node);
        this.writer = new ChangeWriter(stores, scheduler);
    }

    /** Starts to follow the configuration. */
    public void start() {
        scheduler.schedule(() -> {
            lastTickMillis = nowMillis();
            startedMillis = lastTickMillis;
            tick();
            watchRoot();
        });
    }

    /** Stops following the configuration. */
    public void close() {
        scheduler.schedule(() -> {
            closed = true;
            watchSubscription.dispose();
        });
    }

    /**
     * Returns the configuration for new requests. Any thread may call it.
     *
     * @return the last applied configuration; an empty one at revision zero before the first
     */
    public Configuration current() {
        return snapshot.configuration();
    }

    /**
     * Returns whether the node may take new work.
     *
     * @param nowMillis the scheduler's time in milliseconds
     * @return true if the outcome of {@link #serving(long)} permits new work
     */
    public boolean mayServe(long nowMillis) {
        return serving(nowMillis).serves();
    }

    /**
     * Returns whether the node may take new work, and the reason.
     *
     * @param nowMillis the scheduler's time in milliseconds
     * @return the outcome by the applied revision, its last confirmation and the last contact with peers
     */
    public ServingState.Outcome serving(long nowMillis) {
        return ServingState.decide(new ServingState.Input(snapshot.state(), nowMillis, node.stalenessBoundMillis()));
    }

    /**
     * Returns the report to send to peers with the next probe or acknowledgement.
     *
     * @return this node's revision and the age of its confirmation
     */
    public RevisionReport report() {
        ServingState state = snapshot.state();
        long ageMillis =
                state.confirmedMillis() == ServingState.NEVER ? -1 : Math.max(0, nowMillis() - state.confirmedMillis());
        return new RevisionReport(node.self(), node.dataCentre(), state.revision(), ageMillis);
    }

    /**
     * Records a peer's report that answers a probe of this node. It can confirm this node's revision.
     *
     * @param report the peer's report
     * @param askedMillis the scheduler's time at which the probe was sent, in milliseconds
     */
    public void recordProbeReply(RevisionReport report, long askedMillis) {
        scheduler.schedule(() -> {
            long contact =
                    report.confirmedAgeMillis() < 0 ? ServingState.NEVER : askedMillis - report.confirmedAgeMillis();
            publish(snapshot.state().onPeerRevision(report.revision(), contact, askedMillis));
            dataCentreRevisions.recordReport(report, askedMillis);
            rememberPeer(report.node(), report.revision());
            scheduleFetchIfBehind(report.node());
        });
    }

    /**
     * Records a report that this node did not ask for, such as one in a peer's own probe. Its age is unknown, so it can
     * only announce a higher revision and confirms nothing.
     *
     * @param report the peer's report
     */
    public void recordUnsolicitedReport(RevisionReport report) {
        scheduler.schedule(() -> {
            publish(snapshot.state().onPeerRevision(report.revision(), ServingState.NEVER, ServingState.NEVER));
            rememberPeer(report.node(), report.revision());
            scheduleFetchIfBehind(report.node());
        });
    }

    /**
     * Returns the values that a peer asks for; see {@link ValueFetcher}.
     *
     * @param keys keys of shards or of the root
     * @return the requested values that this node holds, by key
     */
    public Mono<Map<String, byte[]>> storedValues(List<String> keys) {
        return Mono.fromCallable(() -> {
                    Map<String, byte[]> values = new HashMap<>();
                    for (String key : keys) {
                        byte[] value = ConfigurationShards.ROOT_KEY.equals(key) ? rootBytes : shards.get(key);
                        if (value != null) {
                            values.put(key, value);
                        }
                    }
                    return values;
                })
                .subscribeOn(scheduler);
    }

    /**
     * Makes an operator's change.
     *
     * @param request the change and the revision on which it is based
     * @return the outcome; errors are reported as an outcome
     */
    public Mono<ChangeOutcome> change(ChangeRequest request) {
        return new ChangeRun(this, request, writer, dataCentreRevisions, scheduler, node.stalenessBoundMillis())
                .run()
                .subscribeOn(scheduler);
    }

    /**
     * Returns the audit records in the last applied root, without reading the platform.
     *
     * @return the records of the latest changes, newest first
     */
    public List<AuditRecord> recentAudit() {
        return newestFirst(root.audit());
    }

    /**
     * Returns all audit records, reading older ones from the platform.
     *
     * @return the records, newest first; an error if the platform cannot be reached
     */
    public Flux<AuditRecord> audit() {
        return Flux.defer(() -> {
            ConfigurationRoot now = root;
            return Flux.concat(Flux.fromIterable(newestFirst(now.audit())), olderAudit(now.auditKey()));
        });
    }

    // Used by ChangeRun on the control thread.

    Configuration configuration() {
        return snapshot.configuration();
    }

    long revision() {
        return snapshot.state().revision();
    }

    // Applies a change made through this node without reading it back from the platform.
    void applyOwnChange(ConfigurationRoot next, byte[] bytes, Map<String, byte[]> newValues, long inForceAtMillis) {
        next.shards().stream()
                .filter(shard -> newValues.containsKey(shard.key()))
                .forEach(shard -> shards.putIfDigestMatches(shard, newValues.get(shard.key())));
        setPendingRoot(new PendingRoot(next, bytes, inForceAtMillis));
    }

    void applyRootRead(ConfigurationRoot read, byte[] bytes, long inForceAtMillis) {
        publish(snapshot.state().onPlatformRevision(read.revision(), inForceAtMillis));
        setPendingRoot(new PendingRoot(read, bytes, inForceAtMillis));
    }

    Flux<AuditRecord> olderAudit(String key) {
        if (key.isEmpty()) {
            return Flux.empty();
        }
        return store.get(key).flatMapMany(value -> {
            if (value.isEmpty()) {
                return Flux.empty();
            }
            AuditChunk chunk = ConfigurationShards.readChunk(value.get().value());
            return Flux.concat(
                    Flux.fromIterable(newestFirst(chunk.records())), Flux.defer(() -> olderAudit(chunk.previousKey())));
        });
    }

    long nowMillis() {
        return scheduler.now(TimeUnit.MILLISECONDS);
    }

    private static List<AuditRecord> newestFirst(List<AuditRecord> records) {
        ArrayList<AuditRecord> reversed = new ArrayList<>(records);
        Collections.reverse(reversed);
        return List.copyOf(reversed);
    }

    private void publish(ServingState state) {
        snapshot = new Snapshot(snapshot.configuration(), state);
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = nowMillis();
        if (now - lastTickMillis > PAUSE_THRESHOLD_MILLIS) {
            publish(snapshot.state().onPause());
            dataCentreRevisions.discardReports();
        }
        lastTickMillis = now;
        scheduler.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    // Watching the root.

    private void watchRoot() {
        if (closed) {
            return;
        }
        long issuedMillis = nowMillis();
        double jitter = 1 + WATCH_JITTER * (2 * random.nextDouble() - 1);
        long waitMillis = (long) (jitter * node.stalenessBoundMillis() / WATCHES_PER_BOUND);
        Mono<Optional<VersionedValue>> call = rootEverRead
                ? store.watch(ConfigurationShards.ROOT_KEY, rootVersion, waitMillis)
                : store.get(ConfigurationShards.ROOT_KEY);
        boolean longPoll = rootEverRead;
        watchSubscription = call.timeout(Duration.ofMillis(waitMillis + RESPONSE_MARGIN_MILLIS), scheduler)
                .publishOn(scheduler)
                .subscribe(
                        value -> onRootRead(value, issuedMillis, longPoll ? waitMillis : Long.MAX_VALUE),
                        error -> retryWatch());
    }

    private void onRootRead(Optional<VersionedValue> value, long issuedMillis, long waitedMillis) {
        watchFailures = 0;
        long version = value.map(VersionedValue::version).orElse(KeyValueStore.ABSENT);
        // The watch answers an unchanged value when the wait ends, so the value was still in force then.
        boolean waitExpired = rootEverRead && version == rootVersion && nowMillis() - issuedMillis >= waitedMillis;
        long inForceAtMillis = waitExpired ? issuedMillis + waitedMillis : issuedMillis;
        boolean unchanged = rootEverRead && version == rootVersion;
        rootEverRead = true;
        rootVersion = version;
        if (unchanged && pendingRoot == null && rootBytes != null) {
            publish(snapshot.state().onPlatformRevision(root.revision(), inForceAtMillis));
        } else {
            byte[] bytes = value.map(VersionedValue::value)
                    .orElseGet(() -> ConfigurationShards.write(ConfigurationRoot.EMPTY));
            applyRootRead(ConfigurationShards.readRoot(bytes), bytes, inForceAtMillis);
        }
        watchRoot();
    }

    private void retryWatch() {
        long delayMillis = WATCH_RETRY_MILLIS << Math.min(watchFailures, MAX_RETRY_DOUBLINGS);
        watchFailures++;
        scheduler.schedule(this::watchRoot, (long) (delayMillis * (0.5 + random.nextDouble())), TimeUnit.MILLISECONDS);
    }

    // Fetching shards.

    private void setPendingRoot(PendingRoot next) {
        boolean newer = pendingRoot == null
                || next.root().revision() >= pendingRoot.root().revision();
        if (next.root().revision() < snapshot.state().revision() || !newer) {
            return;
        }
        pendingRoot = next;
        fetchMissingShards();
    }

    private void fetchMissingShards() {
        if (fetching || pendingRoot == null) {
            return;
        }
        PendingRoot target = pendingRoot;
        List<ConfigurationRoot.ShardRef> missing = shards.missing(target.root());
        if (missing.isEmpty()) {
            applyRoot(target);
            return;
        }
        fetching = true;
        boolean awaitingFirstPeer = peers.isEmpty() && nowMillis() - startedMillis < FIRST_PEER_WAIT_MILLIS;
        if (missing.size() > ShardSource.MAX_SHARDS_PLATFORM_FIRST && awaitingFirstPeer) {
            scheduleRefetch();
            return;
        }
        source.fetch(missing, List.copyOf(peers.keySet()), watchFailures > 0)
                .publishOn(scheduler)
                .subscribe(
                        found -> onShardsFetched(target, missing, found),
                        error -> onShardsFetched(target, missing, Map.of()));
    }

    private void onShardsFetched(
            PendingRoot target, List<ConfigurationRoot.ShardRef> missing, Map<String, byte[]> found) {
        fetching = false;
        missing.stream()
                .filter(shard -> found.containsKey(shard.key()))
                .forEach(shard -> shards.putIfDigestMatches(shard, found.get(shard.key())));
        boolean complete = shards.missing(target.root()).isEmpty();
        if (complete || pendingRoot != target) {
            fetchMissingShards();
            return;
        }
        // No source could be reached, the budget is used up, or a later change has replaced a shard. In the last case
        // the watch will return a later root.
        fetching = true;
        scheduleRefetch();
    }

    private void scheduleRefetch() {
        scheduler.schedule(
                () -> {
                    fetching = false;
                    fetchMissingShards();
                },
                SHARD_REFETCH_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void applyRoot(PendingRoot target) {
        pendingRoot = null;
        long revision = target.root().revision();
        if (revision < snapshot.state().revision()) {
            return;
        }
        ServingState state = snapshot.state().onRevisionApplied(revision, target.inForceAtMillis());
        boolean alreadyApplied = revision == snapshot.state().revision();
        Configuration next = alreadyApplied ? snapshot.configuration() : shards.assemble(target.root());
        snapshot = new Snapshot(next, state);
        root = target.root();
        rootBytes = target.bytes();
        shards.retainOnly(target.root());
        if (!alreadyApplied) {
            LOG.debug("applied configuration revision {}", revision);
        }
    }

    // Tracking the peers' revisions.

    private void rememberPeer(VmId peer, long revision) {
        peers.remove(peer);
        if (revision >= snapshot.state().revision()) {
            peers.put(peer, revision);
        }
        while (peers.size() > MAX_REMEMBERED_PEERS) {
            peers.remove(peers.keySet().iterator().next());
        }
    }

    // The watch usually returns a new root first; the peer is asked for it only if the watch does not.
    private void scheduleFetchIfBehind(VmId peer) {
        ServingState state = snapshot.state();
        if (state.highestRevision() <= state.revision() || fetching) {
            return;
        }
        long revisionBefore = state.revision();
        scheduler.schedule(
                () -> {
                    if (snapshot.state().revision() == revisionBefore && !fetching) {
                        fetchRoot(peer);
                    }
                },
                PEER_FETCH_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void fetchRoot(VmId peer) {
        fetcher.fetch(peer, List.of(ConfigurationShards.ROOT_KEY))
                .timeout(Duration.ofMillis(RESPONSE_MARGIN_MILLIS), scheduler)
                .publishOn(scheduler)
                .subscribe(
                        found -> {
                            byte[] bytes = found.get(ConfigurationShards.ROOT_KEY);
                            if (bytes != null) {
                                setPendingRoot(new PendingRoot(
                                        ConfigurationShards.readRoot(bytes), bytes, ServingState.NEVER));
                            }
                        },
                        error -> LOG.debug("cannot fetch the configuration root from peer {}", peer, error));
    }
}
