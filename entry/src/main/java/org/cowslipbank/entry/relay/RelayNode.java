package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.HedgePolicy;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.decision.relay.LookupNodes;
import org.cowslipbank.decision.relay.PartLocations;
import org.cowslipbank.decision.relay.ReportedVersions;
import org.cowslipbank.decision.relay.StopPolicy;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.decision.relay.UpstreamNotices;
import org.cowslipbank.decision.relay.UpstreamReachability;
import org.cowslipbank.decision.suspects.RefusalProbes;
import org.cowslipbank.decision.suspects.SoundParts;
import org.cowslipbank.entry.admin.PrometheusText;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.ports.BoundedBytes;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.PlatformDecoder;
import org.cowslipbank.ports.relay.RelayCodec;
import org.cowslipbank.ports.relay.RelaySettings;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * A relay node: serves clients, answers look-ups and readiness checks, and takes part in the fleet's hubs, load digests
 * and version rollouts.
 */
public final class RelayNode {
    /** Lifetime of a look-up answer in seconds; some clients keep it three times as long. */
    public static final long LOOKUP_TTL_SECONDS = 1;

    private static final long LOOKUP_MAX_LIFETIMES = 3;

    /** Longest time for which clients go on to use a node that is no longer in the look-up answers. */
    private static final long CLIENTS_LEAVE_MILLIS = LOOKUP_TTL_SECONDS * LOOKUP_MAX_LIFETIMES * 1_000;

    private static final long SWEEP_INTERVAL_MILLIS = 500;

    // Readiness is asked for each second and members poll more often; the peer of a longer idle connection may be gone.
    private static final Duration LISTENER_IDLE_TIME = Duration.ofSeconds(30);
    private static final int HTTP_UNAVAILABLE = HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    /** Longest poll of a member; it names a position in the feed of each cache store. */
    private static final int MAX_POLL_BYTES = 64 * 1024;

    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 50;
    /** Part of the grace period left unused, so that the process ends before it is killed. */
    private static final long GRACE_MARGIN_MILLIS = 900;
    /** Part of that margin in which answers to requests that did not end are written. */
    private static final long LAST_ANSWERS_MILLIS = 300;

    private final RelaySettings settings;
    private final RelayCodec codec;
    private final Clocks clocks;
    private final LoopResources loops;
    private final EventLoop loop;
    private final Scheduler control = Schedulers.newSingle("control", true);
    private final MetricRegistry metrics;
    private final DecisionLog log;
    private final PlatformWatcher watcher;
    private final NodeLease lease;
    private final RolloutController rollouts;
    private final UpstreamLoads loads = new UpstreamLoads();
    private final UpstreamNotices notices = new UpstreamNotices();
    private final PartLocations partLocations = new PartLocations();
    private final UpstreamConnectionPool connections;
    private final CacheStoreFollower cacheStores;
    private final HubFeed hubFeed;
    private final HubFeedClient hubClient;
    private final CacheStoreCleaner cleaner;
    private final StreamOriginReports originReports;
    private final SoftwareVersionRecorder softwareRecorder;
    private final LoadDigests digests;
    private final RelayContext context;
    private final ExplainEndpoint explanations;
    private final ClientHttpServer clientServer;
    private final ClientHttpServer nodeServer;
    private final UpstreamReachability reachability = new UpstreamReachability();
    private final RequestForwarding forwarding;
    private final ReachabilityMonitor monitor;
    private final List<DisposableServer> servers = new ArrayList<>();
    private final ColdUpstreamMonitor coldUpstreams;
    private Set<String> sharingNodes = Set.of();
    private volatile boolean shuttingDown;

    /**
     * Access to the platform on which the node runs.
     *
     * @param store the metadata store
     * @param decoder keys and decoding of the store's items
     * @param engines calls to engines and cache stores
     * @param codec encoding of requests and answers
     */
    public record Platform(MetadataStore store, PlatformDecoder decoder, EngineControl engines, RelayCodec codec) {}

    /**
     * Creates a node without starting it.
     *
     * @param settings the settings
     * @param platform the platform
     * @param loops event loops; one of them is the traffic thread
     * @param clocks the clocks
     * @param metrics registry to which the node adds its metrics
     */
    public RelayNode(
            RelaySettings settings, Platform platform, LoopResources loops, Clocks clocks, MetricRegistry metrics) {
        this.settings = settings;
        this.codec = platform.codec();
        this.clocks = clocks;
        this.loops = loops;
        this.loop = (EventLoop) loops.onServer(true).next();
        this.metrics = metrics;
        this.log = new DecisionLog(clocks.monotonic(), DecisionLog.LINES_PER_SECOND);
        NodeItems items = new NodeItems(platform.decoder().nodeItemPrefix());
        StreamOrigins origins = new StreamOrigins(settings.nodeName());
        RefusalProbes probes = new RefusalProbes();
        PlatformState state = new PlatformState(
                platform.decoder(),
                items,
                origins,
                probes,
                log,
                settings.bounds().revokeMillis(),
                clocks.wallMillis());
        this.hubFeed = new HubFeed(loop, clocks, log);
        this.watcher =
                new PlatformWatcher(platform.store(), platform.decoder(), state, clocks, control, log, watchListener());
        RegisteredNode self = new RegisteredNode(
                settings.nodeName(),
                settings.listeners().clients(),
                settings.dataCentre(),
                settings.listeners().digests(),
                settings.listeners().cache(),
                settings.listeners().forwarding(),
                settings.linkBytesPerSecond(),
                settings.processorCores(),
                false);
        ControlContext controlContext =
                new ControlContext(self, platform.store(), items, watcher::view, clocks, control, log);
        this.lease = new NodeLease(controlContext, state, settings.minLeaseMillis());
        this.rollouts = new RolloutController(controlContext, lease, platform.engines(), notices, settings.bounds());
        CrashReports crashReports = new CrashReports(controlContext, reachability, state::onSoundAnswers);
        this.originReports = new StreamOriginReports(controlContext, origins, new ReportedVersions());
        this.softwareRecorder = new SoftwareVersionRecorder(
                controlContext, state, origins.versions(), lease::isLeader, watcher::confirmation);
        LoopTurnTracker turns = new LoopTurnTracker(loop, clocks, loads::excuseSilence);
        RequestStarter starter = new RequestStarter(loop, clocks, turns);
        RelayMetrics relayMetrics = new RelayMetrics(metrics);
        Consumer<AnswerAnomaly> anomalies = anomaly -> {
            relayMetrics.onAnswerAnomaly(anomaly.kind());
            log.logRequest(anomaly.describe());
        };
        this.connections = new UpstreamConnectionPool(
                codec, clocks.monotonic(), turns, loops, loop, upstreamEvents(crashReports), anomalies);
        UpstreamConnectionPool nodeConnections = new UpstreamConnectionPool(
                codec, clocks.monotonic(), turns, loops, loop, UpstreamConnectionPool.Events.IGNORED, anomalies);
        this.forwarding = new RequestForwarding(self, watcher::view, clocks, nodeConnections);
        CacheIndex cacheIndex = new CacheIndex();
        CacheStoreFollower.Sources sources = new CacheStoreFollower.Sources(platform.engines(), hubFeed, this::hasHub);
        this.cacheStores = new CacheStoreFollower(sources, cacheIndex, watcher::view, loop, clocks, log);
        HubFeedClient.Handlers handlers = new HubFeedClient.Handlers(
                cacheStores::cursors, watcher::onHubAnswer, this::onCacheChangesOfHub, this::hasRequests);
        this.hubClient = new HubFeedClient(watcher::view, self.name(), loops, loop, clocks, log, handlers);
        this.cleaner = new CacheStoreCleaner(
                platform.engines(),
                cacheIndex,
                new CacheStoreCleaner.Knowledge(
                        watcher::confirmation,
                        watcher::view,
                        lease::isLeader,
                        settings.bounds().revokeMillis()),
                loop,
                clocks,
                relayMetrics,
                log);
        FleetLoads fleetLoads = new FleetLoads();
        WaitingRequests waiting = new WaitingRequests(loop, clocks, turns, loads, relayMetrics, log);
        this.digests = new LoadDigests(
                self,
                watcher::view,
                new LoadDigests.Exchanged(loads, fleetLoads, notices, reachability),
                new LoadDigests.Names(settings.bounds().versionMillis(), watcher::onVersionTold),
                clocks,
                turns,
                log);
        this.context = new RelayContext(
                settings,
                codec,
                watcher::view,
                watcher::confirmation,
                watcher.readings(),
                watcher::refresh,
                watcher::canConfirm,
                watcher::isStoreAnswering,
                clocks,
                loop,
                connections,
                processChecks(
                        platform.engines(),
                        new ProcessChecks.Purpose(
                                "ends of answers checked",
                                relayMetrics::onAnswerEndCall,
                                relayMetrics::onAnswerEndsChecked)),
                processChecks(
                        platform.engines(),
                        new ProcessChecks.Purpose(
                                "engine checked before a stream goes on",
                                relayMetrics::onIdentityCall,
                                relayMetrics::onIdentitiesChecked)),
                reachability,
                forwarding,
                loads,
                notices,
                new NoticeRecorder(notices, watcher::view, clocks, log),
                fleetLoads,
                cacheIndex,
                partLocations,
                turns,
                starter,
                waiting,
                new RetryBudgets(
                        settings.bounds().retryShare(), settings.bounds().retrySlack()),
                HedgePolicy.ofLimit(settings.hedgePercent()),
                crashReports,
                probes,
                new SoundParts(),
                origins,
                originReports,
                new NodeStop(clocks),
                new HeldMemory(settings.heldMegabytes(), loop, clocks, relayMetrics, log),
                relayMetrics,
                log);
        this.coldUpstreams = new ColdUpstreamMonitor(notices.cold(), settings.nodeName(), clocks, log);
        this.explanations = new ExplainEndpoint(context);
        this.clientServer = new ClientHttpServer(context, ClientHttpServer.Callers.CLIENTS);
        this.nodeServer = new ClientHttpServer(context, ClientHttpServer.Callers.NODES);
        this.monitor = new ReachabilityMonitor(
                reachability,
                new ReachabilityMonitor.Node(watcher::view, connections, loads, context.metrics(), this::onCutOff),
                loop,
                clocks,
                turns,
                log);
        registerGauges(cacheIndex);
        metrics.register("relay.waiting", (Gauge<Integer>) waiting::size);
        metrics.register("relay.held.bytes", (Gauge<Long>) context.held().bytes()::bytes);
        metrics.register("relay.unstarted", (Gauge<Integer>) starter::size);
    }

    /**
     * Starts the node.
     *
     * @throws PeerException if the thread is interrupted while the node binds its addresses
     */
    public void start() throws PeerException {
        watcher.start();
        clientServer.listen(settings.listeners().clients(), loops, loop);
        nodeServer.listen(settings.listeners().forwarding(), loops, loop);
        digests.listen(loops, loop);
        servers.add(listen(settings.listeners().readiness(), this::answerReadiness));
        servers.add(listen(settings.listeners().lookups(), this::answerLookup));
        servers.add(listen(settings.listeners().cache(), this::answerFeedPoll));
        if (!settings.listeners().metrics().isEmpty()) {
            servers.add(listen(settings.listeners().metrics(), this::answerMetrics));
        }
        loop.scheduleAtFixedRate(
                new GuardedTask("sweep", this::sweep, log),
                SWEEP_INTERVAL_MILLIS,
                SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        hubClient.start();
        monitor.start();
        lease.start();
        rollouts.start();
        originReports.start();
        softwareRecorder.start();
        log.logState(LogFields.event("node started")
                .field("node", settings.nodeName())
                .field("dataCentre", settings.dataCentre())
                .field("clients", settings.listeners().clients()));
    }

    /**
     * Shuts down without cutting a request off. The node removes itself from the look-up answers, serves for as long as
     * clients may keep an answer that names it, then waits for requests in progress until shortly before the grace
     * period ends. Requests that could not end by then are refused from the start.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void shutDown() throws InterruptedException {
        long startMillis = clocks.nowMillis();
        shuttingDown = true;
        log.logState(LogFields.event("node stopping")
                .field("graceMillis", settings.bounds().graceMillis()));
        lease.release();
        long endMillis = startMillis + settings.bounds().graceMillis() - GRACE_MARGIN_MILLIS;
        context.stop().begin(new StopPolicy.Stop(startMillis + CLIENTS_LEAVE_MILLIS, endMillis));
        clientServer.startDraining();
        nodeServer.startDraining();
        long servingMillis = CLIENTS_LEAVE_MILLIS + SWEEP_INTERVAL_MILLIS;
        awaitTime(Math.min(startMillis + servingMillis, endMillis));
        loop.submit(clientServer::closeIdle).syncUninterruptibly();
        loop.submit(nodeServer::closeIdle).syncUninterruptibly();
        awaitIdle(endMillis);
        loop.submit(clientServer::answerUnfinished).syncUninterruptibly();
        loop.submit(nodeServer::answerUnfinished).syncUninterruptibly();
        awaitIdle(endMillis + LAST_ANSWERS_MILLIS);
        log.logState(LogFields.event("node stopped").field("busyConnections", busyConnections()));
    }

    /** Waits until a time of the node's clock, by which the end of the grace period is judged as well. */
    private void awaitTime(long millis) throws InterruptedException {
        while (clocks.nowMillis() < millis) {
            Thread.sleep(Math.max(0, Math.min(DRAIN_CHECK_INTERVAL_MILLIS, millis - clocks.nowMillis())));
        }
    }

    private void awaitIdle(long untilMillis) throws InterruptedException {
        while (busyConnections() > 0 && clocks.nowMillis() < untilMillis) {
            Thread.sleep(DRAIN_CHECK_INTERVAL_MILLIS);
        }
    }

    private int busyConnections() {
        return loop.submit(() -> clientServer.busyConnections() + nodeServer.busyConnections())
                .syncUninterruptibly()
                .getNow();
    }

    private boolean isReady() {
        return !shuttingDown && watcher.view().routes().isPresent() && context.isConfirmed();
    }

    private void applyView(PlatformView view) {
        context.turns().onEvent();
        context.cacheIndex().setNodes(settings.nodeName(), view.nodes().keySet());
        cacheStores.refresh();
        loads.retain(view.incarnations());
        notices.retain(view.incarnations());
        context.waiting().setGuardedServices(view.largeServices());
        view.routes().ifPresent(routes -> context.waiting()
                .setRoutes(routes.configuration().routes()));
        notices.brittle().setUpstreams(view.servers().values());
        LeaderLease.ClockReading now = clocks.now();
        partLocations.setUpstreams(view.servers().values(), now.wallMillis(), now.monotonicMillis());
        forwarding.retain(view.nodes().keySet());
        Set<String> sending = nodesThatSend(view, reachability.isCutOff() ? "" : settings.nodeName());
        coldUpstreams.onView(view, sending);
        if (!sending.equals(sharingNodes)) {
            sharingNodes = sending;
            List<String> names = sharingNodes.stream().sorted().toList();
            int index = names.indexOf(settings.nodeName());
            notices.limits().setShare(names.size(), Math.max(0, index));
            notices.brittle()
                    .setShare(
                            names.size(),
                            index < 0 ? OptionalInt.empty() : OptionalInt.of(index),
                            now.monotonicMillis());
        }
    }

    /** Returns the nodes that share the limits of upstreams: those that reach them, or all if none does. */
    private static Set<String> nodesThatSend(PlatformView view, String reachingNode) {
        Set<String> reaching = view.nodes().values().stream()
                .filter(node -> !node.cutOff() || node.name().equals(reachingNode))
                .map(RegisteredNode::name)
                .collect(Collectors.toSet());
        return reaching.isEmpty() ? view.nodes().keySet() : reaching;
    }

    private void onCutOff(boolean isCutOff) {
        lease.setCutOff(isCutOff);
        applyView(watcher.view());
    }

    private ProcessChecks processChecks(EngineControl engines, ProcessChecks.Purpose purpose) {
        return new ProcessChecks(engines, connections, watcher::view, loop, clocks, purpose, log);
    }

    private UpstreamConnectionPool.Events upstreamEvents(CrashReports crashReports) {
        return new UpstreamConnectionPool.Events() {
            @Override
            public void onConnected(String address, int otherConnections) {
                reachability.onConnected(address, clocks.nowMillis());
                notices.cold().onConnected(address, otherConnections, clocks.nowMillis());
            }

            @Override
            public void onConnectFailed(String address) {
                reachability.onConnectFailed(address, clocks.nowMillis());
                notices.cold().onConnectFailed(address);
            }

            @Override
            public void onBroken(String address) {
                reachability.onBroken(clocks.nowMillis());
                notices.cold().onBroken(address, clocks.nowMillis());
            }

            @Override
            public void onIdleReset(String address) {
                reachability.onBroken(clocks.nowMillis());
                notices.cold().onBroken(address, clocks.nowMillis());
                crashReports.onIdleReset(address);
            }
        };
    }

    private void sweep() {
        context.turns().onEvent();
        context.held().sweep();
        clientServer.closeExpired();
        nodeServer.closeExpired();
        connections.closeExpired();
        forwarding.connections().closeExpired();
        cleaner.freeUnusedParts();
        coldUpstreams.sweep(connections::openCount);
        notices.takeEndedPauses(clocks.nowMillis())
                .forEach(incarnation -> log.logState(
                        LogFields.event("pause of upstream has ended").field("incarnation", incarnation)));
    }

    private DisposableServer listen(String address, Handler handler) {
        return HttpServer.create()
                .runOn(loops)
                .bindAddress(() -> SocketAddresses.parse(address))
                .idleTimeout(LISTENER_IDLE_TIME)
                .handle(handler::answer)
                .bindNow(Duration.ofSeconds(5));
    }

    /** Answers the requests of one listener. */
    @FunctionalInterface
    private interface Handler {
        Mono<Void> answer(HttpServerRequest request, HttpServerResponse response);
    }

    private Mono<Void> answerReadiness(HttpServerRequest request, HttpServerResponse response) {
        context.turns().onEvent();
        if (!codec.isReadinessCheck(request.uri())) {
            return response.status(HttpResponseStatus.NOT_FOUND).send();
        }
        return response.status(isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE)
                .send();
    }

    private Mono<Void> answerFeedPoll(HttpServerRequest request, HttpServerResponse response) {
        context.turns().onEvent();
        if (!request.uri().equals(HubFeedClient.FEED_PATH)) {
            return response.status(HttpResponseStatus.NOT_FOUND).send();
        }
        boolean readsStoreAges = request.requestHeaders().contains(HubFeedClient.STORE_AGES_HEADER);
        return BoundedBytes.collect(request.receive().asByteArray(), MAX_POLL_BYTES)
                .flatMap(bytes -> Mono.fromCallable(() -> FeedMessages.decodePollRequest(bytes)))
                .flatMap(hubFeed::poll)
                .map(answer -> readsStoreAges ? answer : answer.map(FeedMessages.PollAnswer::withoutStoreAges))
                .flatMap(answer -> answer.isPresent()
                        ? response.sendByteArray(Mono.just(FeedMessages.encode(answer.get())))
                                .then()
                        : response.status(hubFeed.followsMetadataStore() ? HubFeedClient.HTTP_GONE : HTTP_UNAVAILABLE)
                                .send())
                .onErrorResume(IOException.class, error -> {
                    log.logRequest(LogFields.event("cannot decode hub feed poll of a member; answered with status 400")
                            .error(error));
                    return response.status(HttpResponseStatus.BAD_REQUEST).send();
                });
    }

    private void onCacheChangesOfHub(
            String hub,
            FeedMessages.PollRequest poll,
            FeedMessages.PollAnswer answer,
            LeaderLease.ClockReading sentAt) {
        context.turns().onEvent();
        cacheStores.onHubAnswer(hub, poll, answer, sentAt);
    }

    private boolean hasRequests() {
        return clientServer.busyConnections() + nodeServer.busyConnections() > 0;
    }

    private boolean hasHub() {
        return hubClient.hasHub();
    }

    private PlatformWatcher.Listener watchListener() {
        return new PlatformWatcher.Listener() {
            @Override
            public void onView(PlatformView view) {
                softwareRecorder.onView();
                loop.execute(() -> applyView(view));
            }

            @Override
            public boolean followsHub() {
                return hubClient.followsHub();
            }

            @Override
            public void onChanges(
                    long fromRevision,
                    MetadataStore.Changes changes,
                    ConfigurationConfirmation confirmed,
                    long reconnectedMillis) {
                loop.execute(() -> hubFeed.onMetadataChanges(
                        fromRevision, changes.items(), changes.revision(), confirmed, reconnectedMillis));
            }

            @Override
            public void onChangesMissed() {
                loop.execute(hubFeed::onMetadataLost);
            }

            @Override
            public void onStoreRestored(boolean firstReading) {
                context.crashReports().writeAgain();
                context.origins().reportAgain();
                if (firstReading) {
                    context.origins().onReportsLost(clocks.nowMillis());
                }
            }
        };
    }

    private Mono<Void> answerMetrics(HttpServerRequest request, HttpServerResponse response) {
        if (ExplainEndpoint.isFor(request)) {
            return explanations.answer(request, response);
        }
        return response.sendString(Mono.fromSupplier(() -> PrometheusText.of(metrics)))
                .then();
    }

    private Mono<Void> answerLookup(HttpServerRequest request, HttpServerResponse response) {
        context.turns().onEvent();
        Optional<String> dataCentre = codec.decodeLookup(request.uri());
        if (dataCentre.isEmpty()) {
            return response.status(HttpResponseStatus.NOT_FOUND).send();
        }
        List<String> addresses = addresses(dataCentre.get());
        if (addresses.isEmpty()) {
            return response.status(HttpResponseStatus.SERVICE_UNAVAILABLE).send();
        }
        byte[] body = codec.encodeLookup(addresses, LOOKUP_TTL_SECONDS);
        return response.header("Content-Type", "application/json")
                .sendByteArray(Mono.just(body))
                .then();
    }

    private List<String> addresses(String dataCentre) {
        List<LookupNodes.Node> nodes = watcher.view().nodes().values().stream()
                .filter(node -> !shuttingDown || !node.name().equals(settings.nodeName()))
                .map(node -> new LookupNodes.Node(
                        node.name(), node.address(), node.dataCentre(), node.processorCores(), node.cutOff()))
                .toList();
        return LookupNodes.addresses(nodes, dataCentre);
    }

    private void registerGauges(CacheIndex cacheIndex) {
        metrics.register("platform.revision", (Gauge<Long>) () -> watcher.view().revision());
        metrics.register("platform.confirmed", (Gauge<Integer>) () -> context.isConfirmed() ? 1 : 0);
        metrics.register("platform.confirmationAgeMillis", (Gauge<Long>) context::confirmationAgeMillis);
        metrics.register("platform.configurationVersion", (Gauge<Long>) () -> watcher.view()
                .routes()
                .map(routes -> routes.configuration().version())
                .orElse(0L));
        metrics.register(
                "platform.nodes", (Gauge<Integer>) () -> watcher.view().nodes().size());
        metrics.register("platform.upstreams", (Gauge<Integer>)
                () -> watcher.view().servers().size());
        metrics.register("platform.gapsForMembers", (Gauge<Integer>) hubFeed::gaps);
        metrics.register("platform.evacuatedDataCentres", (Gauge<Integer>)
                () -> watcher.view().evacuated().size());
        metrics.register("upstream.connectionsOpened", (Gauge<Long>) connections::openedCount);
        metrics.register("upstream.brittle", (Gauge<Integer>) notices.brittle()::size);
        metrics.register("upstream.cold", (Gauge<Integer>) notices.cold()::coldCount);
        metrics.register("upstream.coldSends", (Gauge<Long>) notices.cold()::sends);
        metrics.register("upstream.brittleRejections", (Gauge<Long>) notices.brittle()::rejections);
        metrics.register("cache.partsInStores", (Gauge<Integer>) cacheIndex::size);
        metrics.register("cache.partsAtEngines", (Gauge<Integer>) partLocations::size);
    }
}
