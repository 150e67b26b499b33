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
import org.cowslipbank.decision.configuration.ConfigurationShards;
import org.cowslipbank.decision.configuration.RootValue;
import org.cowslipbank.decision.configuration.ServingState;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.KeyValueStore;
import org.cowslipbank.ports.VersionedValue;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * The configuration of one node.
 *
 * <p>One thread, the scheduler's, owns the state. Traffic threads read the published snapshot through
 * {@link #current()} and {@link #mayServe(long)}.
 */
public final class ConfigurationService {
    private static final Logger LOG = LogManager.getLogger(ConfigurationService.class);
    private static final long TICK_MILLIS = 500;
    private static final long PAUSE_MILLIS = 2_000;
    // A watch is answered four times within the bound, so that one lost response does not stop a node.
    private static final int WATCHES_PER_BOUND = 4;
    private static final double WATCH_JITTER = 0.2;
    private static final long WATCH_MARGIN_MILLIS = 1_000;
    private static final long RETRY_MILLIS = 250;
    private static final int RETRIES_DOUBLED = 3;
    private static final long BEHIND_MILLIS = 300;
    private static final int MAX_PEERS = 64;
    private static final long REFETCH_MILLIS = 500;
    // A starting node hears its first peers within a probe interval; before that it would read all from the platform.
    private static final long WAIT_FOR_PEERS_MILLIS = 1_500;

    private record Published(Configuration configuration, ServingState state) {}

    private record Wanted(RootValue root, byte[] bytes, long atMillis) {}

    private final ConfigurationNode node;
    private final KeyValueStore store;
    private final ValueFetcher fetcher;
    private final Scheduler scheduler;
    private final Random random;
    private final ShardSource source;
    private final ChangeWriter writer;
    private final DataCentres dataCentres;
    private volatile Published published = new Published(Configurations.empty(), ServingState.START);
    private volatile RootValue root = RootValue.EMPTY;

    // Only the scheduler's thread uses the fields below.
    private final ShardCache shards = new ShardCache();
    private final Map<VmId, Long> peers = new LinkedHashMap<>();
    private byte[] rootBytes;
    private Wanted wanted;
    private boolean fetching;
    private long rootVersion = KeyValueStore.ABSENT;
    private boolean rootKnown;
    private int failures;
    private long lastTickMillis;
    private long startedMillis;
    private boolean closed;
    private Disposable watch = () -> {};

    /**
     * Creates a service; it does nothing before {@link #start()}.
     *
     * @param node identity and settings
     * @param stores views of the home region's key-value service
     * @param fetcher fetches values from peers
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
        this.dataCentres = new DataCentres(node);
        this.writer = new ChangeWriter(stores, scheduler);
    }

    /** Starts to follow the configuration. */
    public void start() {
        scheduler.schedule(() -> {
            lastTickMillis = nowMillis();
            startedMillis = lastTickMillis;
            tick();
            watch();
        });
    }

    /** Stops following the configuration. */
    public void close() {
        scheduler.schedule(() -> {
            closed = true;
            watch.dispose();
        });
    }

    /**
     * Returns the snapshot for traffic threads.
     *
     * @return the configuration applied last; an empty one at revision zero before the first
     */
    public Configuration current() {
        return published.configuration();
    }

    /**
     * Tells whether the node may take new work.
     *
     * @param nowMillis the scheduler's time in milliseconds
     * @return true if its revision is confirmed within the staleness bound
     */
    public boolean mayServe(long nowMillis) {
        return serving(nowMillis).serves();
    }

    /**
     * Tells whether the node may take new work, and why.
     *
     * @param nowMillis the scheduler's time in milliseconds
     * @return the outcome
     */
    public ServingState.Outcome serving(long nowMillis) {
        return ServingState.decide(new ServingState.Input(published.state(), nowMillis, node.boundMillis()));
    }

    /**
     * Returns what to tell peers now.
     *
     * @return the report
     */
    public PeerReport report() {
        ServingState state = published.state();
        long ageMillis =
                state.confirmedMillis() == ServingState.NEVER ? -1 : Math.max(0, nowMillis() - state.confirmedMillis());
        return new PeerReport(node.self(), node.dataCentre(), state.revision(), ageMillis);
    }

    /**
     * Takes the answer of a peer to a question of this node.
     *
     * @param report the peer's report
     * @param askedMillis the scheduler's time at which the question was sent
     */
    public void heard(PeerReport report, long askedMillis) {
        scheduler.schedule(() -> {
            long contact =
                    report.confirmedAgeMillis() < 0 ? ServingState.NEVER : askedMillis - report.confirmedAgeMillis();
            publish(published.state().peerNamed(report.revision(), contact, askedMillis));
            dataCentres.heard(report, askedMillis);
            rememberPeer(report.node(), report.revision());
            checkBehind(report.node());
        });
    }

    /**
     * Takes the report of a peer that this node did not ask, such as in the peer's own probe. It only tells of a higher
     * revision, since its age is not known.
     *
     * @param report the peer's report
     */
    public void hinted(PeerReport report) {
        scheduler.schedule(() -> {
            publish(published.state().peerNamed(report.revision(), ServingState.NEVER, ServingState.NEVER));
            rememberPeer(report.node(), report.revision());
            checkBehind(report.node());
        });
    }

    /**
     * Serves values to a peer.
     *
     * @param keys keys of shards or of the root
     * @return the values that this node holds
     */
    public Mono<Map<String, byte[]>> values(List<String> keys) {
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
     * @param request the change
     * @return the outcome; never an error
     */
    public Mono<ChangeOutcome> change(ChangeRequest request) {
        return new ChangeRun(this, request, writer, dataCentres, scheduler, node.boundMillis())
                .run()
                .subscribeOn(scheduler);
    }

    /**
     * Returns the audit records that the snapshot's root holds.
     *
     * @return the latest changes, newest first
     */
    public List<AuditRecord> history() {
        return newestFirst(root.audit());
    }

    /**
     * Reads all audit records.
     *
     * @return the records, newest first; an error if the platform cannot be reached
     */
    public Flux<AuditRecord> audit() {
        return Flux.defer(() -> {
            RootValue now = root;
            return Flux.concat(Flux.fromIterable(newestFirst(now.audit())), olderAudit(now.auditKey()));
        });
    }

    // For a change: state of the control thread.

    Configuration configuration() {
        return published.configuration();
    }

    long revision() {
        return published.state().revision();
    }

    // Puts a change of this node in force here without reading it back.
    void applyOwn(RootValue next, byte[] bytes, Map<String, byte[]> newValues, long atMillis) {
        next.shards().stream()
                .filter(shard -> newValues.containsKey(shard.key()))
                .forEach(shard -> shards.offer(shard, newValues.get(shard.key())));
        want(new Wanted(next, bytes, atMillis));
    }

    void applyRead(RootValue read, byte[] bytes, long atMillis) {
        publish(published.state().platformNamed(read.revision(), atMillis));
        want(new Wanted(read, bytes, atMillis));
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
        published = new Published(published.configuration(), state);
    }

    private void tick() {
        if (closed) {
            return;
        }
        long now = nowMillis();
        if (now - lastTickMillis > PAUSE_MILLIS) {
            publish(published.state().paused());
            dataCentres.paused();
        }
        lastTickMillis = now;
        scheduler.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    // Following the root.

    private void watch() {
        if (closed) {
            return;
        }
        long issuedMillis = nowMillis();
        double jitter = 1 + WATCH_JITTER * (2 * random.nextDouble() - 1);
        long waitMillis = (long) (jitter * node.boundMillis() / WATCHES_PER_BOUND);
        Mono<Optional<VersionedValue>> call = rootKnown
                ? store.watch(ConfigurationShards.ROOT_KEY, rootVersion, waitMillis)
                : store.get(ConfigurationShards.ROOT_KEY);
        boolean waits = rootKnown;
        watch = call.timeout(Duration.ofMillis(waitMillis + WATCH_MARGIN_MILLIS), scheduler)
                .publishOn(scheduler)
                .subscribe(
                        value -> rootRead(value, issuedMillis, waits ? waitMillis : Long.MAX_VALUE),
                        error -> retryWatch());
    }

    private void rootRead(Optional<VersionedValue> value, long issuedMillis, long waitedMillis) {
        failures = 0;
        long version = value.map(VersionedValue::version).orElse(KeyValueStore.ABSENT);
        // An unchanged value is answered at the end of the wait, so it was in force at least then.
        boolean waitedOut = rootKnown && version == rootVersion && nowMillis() - issuedMillis >= waitedMillis;
        long atMillis = waitedOut ? issuedMillis + waitedMillis : issuedMillis;
        boolean unchanged = rootKnown && version == rootVersion;
        rootKnown = true;
        rootVersion = version;
        if (unchanged && wanted == null && rootBytes != null) {
            publish(published.state().platformNamed(root.revision(), atMillis));
        } else {
            byte[] bytes = value.map(VersionedValue::value).orElseGet(() -> ConfigurationShards.write(RootValue.EMPTY));
            applyRead(ConfigurationShards.readRoot(bytes), bytes, atMillis);
        }
        watch();
    }

    private void retryWatch() {
        long delayMillis = RETRY_MILLIS << Math.min(failures, RETRIES_DOUBLED);
        failures++;
        scheduler.schedule(this::watch, (long) (delayMillis * (0.5 + random.nextDouble())), TimeUnit.MILLISECONDS);
    }

    // Fetching shards.

    private void want(Wanted next) {
        boolean newer =
                wanted == null || next.root().revision() >= wanted.root().revision();
        if (next.root().revision() < published.state().revision() || !newer) {
            return;
        }
        wanted = next;
        fetchWanted();
    }

    private void fetchWanted() {
        if (fetching || wanted == null) {
            return;
        }
        Wanted target = wanted;
        List<RootValue.ShardRef> missing = shards.missing(target.root());
        if (missing.isEmpty()) {
            apply(target);
            return;
        }
        fetching = true;
        boolean mayHearPeers = peers.isEmpty() && nowMillis() - startedMillis < WAIT_FOR_PEERS_MILLIS;
        if (missing.size() > ShardSource.FEW_SHARDS && mayHearPeers) {
            fetchAgainLater();
            return;
        }
        source.get(missing, List.copyOf(peers.keySet()), failures > 0)
                .publishOn(scheduler)
                .subscribe(found -> fetched(target, missing, found), error -> fetched(target, missing, Map.of()));
    }

    private void fetched(Wanted target, List<RootValue.ShardRef> missing, Map<String, byte[]> found) {
        fetching = false;
        missing.stream()
                .filter(shard -> found.containsKey(shard.key()))
                .forEach(shard -> shards.offer(shard, found.get(shard.key())));
        boolean complete = shards.missing(target.root()).isEmpty();
        if (complete || wanted != target) {
            fetchWanted();
            return;
        }
        // No source was reachable, the budget is used up, or a later change has replaced a shard; in that case the
        // watch brings a later root.
        fetching = true;
        fetchAgainLater();
    }

    private void fetchAgainLater() {
        scheduler.schedule(
                () -> {
                    fetching = false;
                    fetchWanted();
                },
                REFETCH_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void apply(Wanted target) {
        wanted = null;
        long revision = target.root().revision();
        if (revision < published.state().revision()) {
            return;
        }
        ServingState state = published.state().applied(revision, target.atMillis());
        boolean same = revision == published.state().revision();
        Configuration next = same ? published.configuration() : shards.assemble(target.root());
        published = new Published(next, state);
        root = target.root();
        rootBytes = target.bytes();
        shards.retain(target.root());
        if (!same) {
            LOG.debug("configuration revision {} applied", revision);
        }
    }

    // Following the peers.

    private void rememberPeer(VmId peer, long revision) {
        peers.remove(peer);
        if (revision >= published.state().revision()) {
            peers.put(peer, revision);
        }
        while (peers.size() > MAX_PEERS) {
            peers.remove(peers.keySet().iterator().next());
        }
    }

    // The watch usually brings a change first; a peer is asked only if it does not.
    private void checkBehind(VmId peer) {
        ServingState state = published.state();
        if (state.highestRevision() <= state.revision() || fetching) {
            return;
        }
        long behind = state.revision();
        scheduler.schedule(
                () -> {
                    if (published.state().revision() == behind && !fetching) {
                        fetchRoot(peer);
                    }
                },
                BEHIND_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void fetchRoot(VmId peer) {
        fetcher.fetch(peer, List.of(ConfigurationShards.ROOT_KEY))
                .timeout(Duration.ofMillis(WATCH_MARGIN_MILLIS), scheduler)
                .publishOn(scheduler)
                .subscribe(
                        found -> {
                            byte[] bytes = found.get(ConfigurationShards.ROOT_KEY);
                            if (bytes != null) {
                                want(new Wanted(ConfigurationShards.readRoot(bytes), bytes, ServingState.NEVER));
                            }
                        },
                        error -> LOG.debug("peer {} did not send its configuration", peer, error));
    }
}
