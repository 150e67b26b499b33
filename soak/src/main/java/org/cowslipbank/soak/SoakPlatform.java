package org.cowslipbank.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.cowslipbank.platform.StandInCacheStore;
import org.cowslipbank.platform.StandInFormats;
import org.cowslipbank.platform.StandInStore;
import org.cowslipbank.platform.StandInUpstream;
import org.cowslipbank.platform.StandInUpstream.Fate;
import org.cowslipbank.platform.StandInUpstream.RunOutcome;
import org.cowslipbank.platform.StandInUpstream.SecondAnswer;
import reactor.netty.resources.LoopResources;

/** The stand-ins around the nodes of a soak test: the metadata store with the operators' items, upstreams and cache stores. */
final class SoakPlatform {
    static final long DRAIN_MILLIS = 3_000;
    private static final int UPSTREAMS_PER_SERVICE = 3;
    private static final int CACHE_STORES = 2;

    /** Data centres of the upstreams; soaks without evacuations use the first only. */
    static final List<String> DATA_CENTRES = List.of(StandInFormats.DATA_CENTRE, "b");

    private static final int PLAIN_SLOTS = 64;

    /** How long a cache store is down when it starts again; nodes count on more than 2.2 s. */

    /** Time without disturbance after which nodes count as in touch, from the platform's rules. */
    static final long CONTACT_MILLIS = 3_000;

    /** Share of the streams that are answered without a length, and of those that are rejected, fail or break off. */
    private static final double UNFRAMED_SHARE = 0.33;

    private static final double BREAKING_SHARE = 0.04;

    /** Share of the streams that break off at the second engine, so that clients take those up whose requests moved. */
    private static final double MOVED_BREAKING_SHARE = 0.8;

    /** Share of the requests that upstreams reject, fail, abort, or answer twice or without a length. */
    private static final double FAILING_SHARE = 0.08;

    /** The same where faults are rare, so that answers of all kinds follow each other on most connections. */
    private static final double CACHE_FAILING_SHARE = 0.2;

    /** Share of the calls that free parts which are carried out late, and how late, in milliseconds. */
    private static final double LATE_FREE_SHARE = 0.4;

    private static final int MIN_LATE_FREE_MILLIS = 500;
    private static final int MAX_LATE_FREE_MILLIS = 4_000;

    /** What is drawn for a request that is not answered as usual, without faults. */
    private static final RunOutcome[] CALM_OUTCOMES = {RunOutcome.ANSWERED, RunOutcome.FAILED, RunOutcome.REJECTED};

    private static final RunOutcome[] STREAM_OUTCOMES = {RunOutcome.REJECTED, RunOutcome.RESET, RunOutcome.CUT};

    private static final SecondAnswer[] CALM_SECOND_ANSWERS = {SecondAnswer.SAME, SecondAnswer.OTHER_STATUS};

    /** Number of additional routes of the usual configurations in a soak of changes. */
    static final int IDLE_ROUTES = 12;

    private final SoakRun.Plan plan;
    private final Random random;
    private final GuaranteeChecker guarantees;
    private final ScheduledExecutorService timer;
    private final int slots;
    private final LoopResources loops = LoopResources.create("soak", 2, true);
    private final StandInStore metadataStore = new StandInStore(loops);
    private final Map<String, StandInCacheStore> cacheStores = new HashMap<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final StreamOrderChecker order;
    private final RouteHistory routes;
    private final StreamEngines engines;
    /** Requests that an engine has run. */
    private final Set<String> ran = ConcurrentHashMap.newKeySet();

    private final AtomicInteger disturbances = new AtomicInteger();
    private volatile long undisturbedSinceMillis;
    private final Map<String, List<String>> keysByTeam = new HashMap<>();
    private volatile SoakClient.Credentials[] credentials;
    private volatile boolean faultFree;
    private StandInFormats.Variant variant = StandInFormats.Variant.USUAL;
    private long configurationVersion;
    private long weightVersion = 1;

    /** An upstream with the proxy whose port it is registered with. */
    final class Upstream {
        private final String service;
        private final String dataCentre;
        private final FaultProxy proxy;
        private StandInUpstream server;
        private volatile String id;

        Upstream(String service, String dataCentre) throws IOException {
            this.service = service;
            this.dataCentre = dataCentre;
            this.proxy = new FaultProxy(0);
            start(1);
        }

        String id() {
            return id;
        }

        FaultProxy proxy() {
            return proxy;
        }

        private boolean isEngine() {
            return service.equals(StandInFormats.ENGINE_SERVICE);
        }

        private void start(long version) {
            id = "i-" + service + "-" + Long.toHexString(random.nextLong());
            StandInUpstream.Resources resources =
                    new StandInUpstream.Resources(isEngine() ? slots : PLAIN_SLOTS, cacheStores, "", dataCentre);
            StandInUpstream.Observer observer = observer(service, id, dataCentre, () -> register(false));
            server = new StandInUpstream(id, 0, version, resources, observer, loops);
            proxy.setTarget(server.port());
            register(false);
        }

        private void register(boolean draining) {
            Map.Entry<String, String> item = server.registration(service, draining, proxy.port());
            metadataStore.put(item.getKey(), item.getValue());
        }

        void restart() {
            server.stop();
            metadataStore.remove(StandInFormats.registrationKey(id));
            start(server.version());
        }

        void drain() {
            register(true);
            guarantees.onLeaving(id);
            timer.schedule(this::restart, DRAIN_MILLIS * 2, TimeUnit.MILLISECONDS);
        }

        /** Lets the registration end, as that of an upstream that cannot write to the store. */
        void lapse() {
            metadataStore.remove(StandInFormats.registrationKey(id));
        }

        void registerAgain() {
            register(false);
        }
    }

    /**
     * Starts the stand-ins.
     *
     * @param plan parameters of the test
     * @param random the seeded numbers
     * @param slots requests that an engine runs at once
     * @param guarantees receives what the stand-ins see
     * @param order receives the runs of streams
     * @param routes receives the additional routes of each configuration
     * @param timer for what happens later
     * @throws IOException if no port is free
     */
    SoakPlatform(
            SoakRun.Plan plan,
            Random random,
            int slots,
            GuaranteeChecker guarantees,
            StreamOrderChecker order,
            RouteHistory routes,
            ScheduledExecutorService timer)
            throws IOException {
        this.plan = plan;
        this.random = random;
        this.slots = slots;
        this.guarantees = guarantees;
        this.order = order;
        this.routes = routes;
        this.timer = timer;
        for (int index = 0; index < CACHE_STORES; index++) {
            StandInCacheStore store = new StandInCacheStore(this::drawFreeDelayMillis, loops);
            cacheStores.put(store.address(), store);
        }
        keysByTeam.put("a", List.of("key-a-0"));
        keysByTeam.put("b", List.of("key-b-0"));
        boolean streams = plan.kind().isOfStreams();
        StandInFormats.Variant ofStreams = plan.kind() == SoakRun.Kind.RELEASES
                ? StandInFormats.Variant.LONG_PROMPTS
                : StandInFormats.Variant.LONG_STREAMS;
        int idleRoutes = plan.kind() == SoakRun.Kind.CHANGES ? IDLE_ROUTES : 0;
        configure(streams ? ofStreams : StandInFormats.Variant.withIdleRoutes(idleRoutes));
        for (int index = 0; index < UPSTREAMS_PER_SERVICE && !streams; index++) {
            String dataCentre = DATA_CENTRES.get(plan.kind() == SoakRun.Kind.FAULTS ? index % DATA_CENTRES.size() : 0);
            upstreams.add(new Upstream(StandInFormats.PLAIN_SERVICE, dataCentre));
            upstreams.add(new Upstream(StandInFormats.ENGINE_SERVICE, dataCentre));
        }
        engines = streams ? new StreamEngines(metadataStore, plan.seed(), timer, this::startEngine) : null;
    }

    private StandInUpstream startEngine(StreamEngines.Identity identity) {
        StandInUpstream.Resources resources = new StandInUpstream.Resources(
                slots, cacheStores, identity.softwareVersion(), StandInFormats.DATA_CENTRE);
        StandInUpstream.Observer observer =
                observer(StandInFormats.ENGINE_SERVICE, identity.id(), StandInFormats.DATA_CENTRE, () -> {});
        return new StandInUpstream(identity.id(), identity.port(), weightVersion, resources, observer, loops);
    }

    /** Returns the engines of several software versions, which only soaks of streams have. */
    StreamEngines engines() {
        return engines;
    }

    /** Records the begin of a disturbance of the metadata store or of the way to it. */
    void beginDisturbance() {
        disturbances.incrementAndGet();
    }

    void endDisturbance() {
        disturbances.decrementAndGet();
        undisturbedSinceMillis = System.currentTimeMillis();
    }

    /**
     * Returns whether nodes have reached the metadata store for a while, and two engines serve, from the platform's rules.
     *
     * @param softwareVersion the engines' software version, empty for any
     */
    boolean isUndisturbed(String softwareVersion) {
        return disturbances.get() == 0
                && System.currentTimeMillis() - undisturbedSinceMillis >= CONTACT_MILLIS
                && engines.count(softwareVersion) > 1;
    }

    StandInStore metadataStore() {
        return metadataStore;
    }

    List<Upstream> upstreams() {
        return upstreams;
    }

    SoakClient.Credentials[] credentials() {
        return credentials;
    }

    /** Returns the share of the engines' slots that are in use. */
    double slotUse() {
        return upstreams.stream()
                .filter(Upstream::isEngine)
                .mapToDouble(upstream -> (double) upstream.server.running() / slots)
                .average()
                .orElse(0);
    }

    private long drawFreeDelayMillis() {
        ThreadLocalRandom draw = ThreadLocalRandom.current();
        return draw.nextDouble() < LATE_FREE_SHARE ? draw.nextInt(MIN_LATE_FREE_MILLIS, MAX_LATE_FREE_MILLIS) : 0;
    }

    /** Returns an observer that selects how the upstream handles each request and reports what it sees. */
    private StandInUpstream.Observer observer(String service, String serverId, String dataCentre, Runnable onLoaded) {
        return new StandInUpstream.Observer() {
            @Override
            public void onReached(String requestId) {
                guarantees.onReached(requestId, serverId, dataCentre);
            }

            @Override
            public Fate onRun(StandInUpstream.Run run) {
                guarantees.onArrival(service, run.id());
                Fate fate = engines == null ? drawFate() : drawStreamFate(run.id());
                if (fate.outcome() != RunOutcome.REJECTED) {
                    guarantees.onRun(run);
                }
                return fate;
            }

            @Override
            public void onAnswered(StandInUpstream.Answered answered) {
                guarantees.onAnswered(answered);
            }

            @Override
            public void onSecondAnswer() {
                guarantees.onSecondAnswer();
            }

            @Override
            public void onFetched(StandInCacheStore.Fetch fetch) {
                guarantees.onFetched(fetch);
            }

            @Override
            public void onBegun(StandInUpstream.Run run, long version) {
                guarantees.onBegun(run, version);
            }

            @Override
            public void onStream(StandInUpstream.Run run, String runId, String softwareVersion, int afterEvent) {
                order.onRun(runId, new StreamOrderChecker.Run(run.id(), run.serverId(), softwareVersion, afterEvent));
            }

            @Override
            public void onOrder(StandInUpstream.Order order) {
                guarantees.onOrder(order);
            }

            @Override
            public void onLoaded(long version) {
                onLoaded.run();
            }
        };
    }

    private Fate drawFate() {
        // Not seeded: requests arrive in a different order in each run.
        ThreadLocalRandom draw = ThreadLocalRandom.current();
        double failingShare = plan.kind() == SoakRun.Kind.CACHE ? CACHE_FAILING_SHARE : FAILING_SHARE;
        if (faultFree || draw.nextDouble() >= failingShare) {
            return Fate.ANSWERED;
        }
        boolean calm = plan.kind() == SoakRun.Kind.CALM;
        RunOutcome outcome = draw(draw, calm ? CALM_OUTCOMES : RunOutcome.values());
        if (draw.nextInt(4) == 0) {
            // Its connection ends with the answer, so that no second one can follow.
            return new Fate(outcome, false, SecondAnswer.NONE);
        }
        return new Fate(outcome, true, draw(draw, calm ? CALM_SECOND_ANSWERS : SecondAnswer.values()));
    }

    /** Streams break with their upstreams and connections; a few are rejected, reset or cut within an event. */
    private Fate drawStreamFate(String requestId) {
        ThreadLocalRandom draw = ThreadLocalRandom.current();
        boolean framed = draw.nextDouble() >= UNFRAMED_SHARE;
        boolean moved = plan.kind() == SoakRun.Kind.RELEASES && !ran.add(requestId);
        if (moved && !faultFree && draw.nextDouble() < MOVED_BREAKING_SHARE) {
            return new Fate(RunOutcome.CUT, framed, SecondAnswer.NONE);
        }
        boolean breaks = !faultFree && draw.nextDouble() < BREAKING_SHARE;
        return new Fate(breaks ? draw(draw, STREAM_OUTCOMES) : RunOutcome.ANSWERED, framed, SecondAnswer.NONE);
    }

    private static <T> T draw(Random draw, T[] values) {
        return values[draw.nextInt(values.length)];
    }

    /** Writes a configuration, which keeps the isolated team of the one before. */
    synchronized void configure(StandInFormats.Variant next) {
        variant = next.withIsolated(variant.isolatedTeam());
        writeConfiguration();
    }

    /** Isolates a team, or none if the name is empty. */
    synchronized void isolate(String team) {
        variant = variant.withIsolated(team);
        writeConfiguration();
    }

    synchronized String isolatedTeam() {
        return variant.isolatedTeam();
    }

    /** Drops the oldest additional routes and adds as many new ones. */
    synchronized void moveIdleRoutes(int count) {
        configure(variant.withIdleRoutes(variant.firstIdleRoute() + count, variant.idleRoutes()));
    }

    /** Adds routes, or drops the newest ones. */
    synchronized void setIdleRoutes(int count) {
        configure(variant.withIdleRoutes(variant.firstIdleRoute(), count));
    }

    private void writeConfiguration() {
        configurationVersion += 1 + random.nextInt(3);
        routes.onWriting(variant);
        metadataStore.put(
                StandInFormats.CONFIGURATION_KEY,
                StandInFormats.configuration(
                        configurationVersion, keysByTeam, variant, slots, List.copyOf(cacheStores.keySet())));
        routes.onWritten();
        keysByTeam.values().forEach(keys -> keys.forEach(guarantees::onGranted));
        guarantees.onIsolated(variant.isolatedTeam());
        guarantees.onTimeout(variant.timeoutMillis());
        credentials = keysByTeam.entrySet().stream()
                .map(entry -> new SoakClient.Credentials(
                        entry.getKey(), entry.getValue().get(0)))
                .toArray(SoakClient.Credentials[]::new);
    }

    synchronized void rotateKey() {
        String team = random.nextBoolean() ? "a" : "b";
        String old = keysByTeam.get(team).get(0);
        keysByTeam.put(team, List.of("key-" + team + "-" + configurationVersion));
        guarantees.onRevoking(old);
        configure(StandInFormats.Variant.USUAL);
        guarantees.onRevoked(old);
    }

    synchronized void changeWeightVersion() {
        weightVersion++;
        metadataStore.put(StandInFormats.VERSION_KEY, StandInFormats.namedVersion(weightVersion));
        guarantees.onVersionNamed(weightVersion);
    }

    /** Requests the evacuation of a data centre. */
    void evacuate(String dataCentre) {
        metadataStore.put(StandInFormats.evacuationKey(dataCentre), StandInFormats.EVACUATION);
        guarantees.onEvacuated(dataCentre);
    }

    void endEvacuation(String dataCentre) {
        guarantees.onEvacuationEnds(dataCentre);
        metadataStore.remove(StandInFormats.evacuationKey(dataCentre));
    }

    /** Reports the upstreams to which the way is disturbed. */
    void reportDisturbed() {
        upstreams.stream()
                .filter(upstream -> upstream.proxy.isFaulty())
                .forEach(upstream -> guarantees.onDisturbed(upstream.id));
    }

    void fallSilent(String service, int skipped, long millis) {
        upstreams.stream()
                .filter(upstream -> upstream.service.equals(service))
                .skip(skipped)
                .forEach(upstream -> upstream.server.fallSilent(millis));
    }

    void restartCacheStore(int index, long downMillis) {
        List.copyOf(cacheStores.values()).get(index % CACHE_STORES).restart(downMillis);
    }

    /** Lets upstreams answer all requests from now on. */
    void endFaults() {
        faultFree = true;
    }

    void stop() throws IOException {
        for (Upstream upstream : upstreams) {
            upstream.proxy.close();
            upstream.server.stop();
        }
        if (engines != null) {
            engines.stop();
        }
        cacheStores.values().forEach(StandInCacheStore::stop);
        metadataStore.stop();
        loops.dispose();
    }
}
