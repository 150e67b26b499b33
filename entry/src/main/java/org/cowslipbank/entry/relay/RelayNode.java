package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.cowslipbank.decision.relay.CacheDirectory;
import org.cowslipbank.decision.relay.Confirmation;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.entry.admin.MetricsText;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.PlatformDecoder;
import org.cowslipbank.ports.relay.RelaySettings;
import org.cowslipbank.ports.relay.RelayWire;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** A node on the platform, as a library. */
public final class RelayNode {
    /** How long clients may keep a look-up answer, in seconds; some keep it three times as long. */
    public static final long LOOKUP_TTL_SECONDS = 1;

    private static final long LOOKUP_KEPT_TIMES = 3;
    private static final long SWEEP_MILLIS = 500;
    private static final int UNAVAILABLE = HttpResponseStatus.SERVICE_UNAVAILABLE.code();
    private static final long DRAIN_CHECK_MILLIS = 50;
    /** Part of the grace period that is not used, so that the process has ended before it is killed. */
    private static final long GRACE_MARGIN_MILLIS = 900;
    /** Nodes in the client's data centre that a look-up answer needs before it leaves out the others. */
    private static final int ENOUGH_NEAR_NODES = 2;

    private final RelaySettings settings;
    private final RelayWire wire;
    private final Clocks clocks;
    private final LoopResources loops;
    private final EventLoop loop;
    private final Scheduler control = Schedulers.newSingle("control", true);
    private final MetricRegistry metrics;
    private final DecisionLog log;
    private final PlatformWatcher watcher;
    private final NodeLease lease;
    private final VersionKeeper versions;
    private final UpstreamLoads loads = new UpstreamLoads();
    private final UpstreamConnections connections;
    private final StoreFollower stores;
    private final FleetFeed feed;
    private final FeedFollower follower;
    private final StoreCleaner cleaner;
    private final LoadDigests digests;
    private final RelayContext context;
    private final FrontServer front;
    private final List<DisposableServer> servers = new ArrayList<>();
    private volatile boolean leaving;

    /**
     * The platform as the node meets it.
     *
     * @param store the metadata store
     * @param decoder names and decodes its items
     * @param engines calls to engines and cache stores
     * @param wire formats of requests and answers
     */
    public record Platform(MetadataStore store, PlatformDecoder decoder, EngineControl engines, RelayWire wire) {}

    /**
     * Puts a node together; nothing is started yet.
     *
     * @param settings the settings
     * @param platform the platform
     * @param loops event loops; one of them carries all traffic
     * @param clocks the clocks
     * @param metrics where counters are registered
     */
    public RelayNode(
            RelaySettings settings, Platform platform, LoopResources loops, Clocks clocks, MetricRegistry metrics) {
        this.settings = settings;
        this.wire = platform.wire();
        this.clocks = clocks;
        this.loops = loops;
        this.loop = (EventLoop) loops.onServer(true).next();
        this.metrics = metrics;
        this.log = new DecisionLog(clocks.monotonic(), DecisionLog.LINES_PER_SECOND);
        OwnItems items = new OwnItems(platform.decoder().ownPrefix());
        PlatformState state = new PlatformState(platform.decoder(), items, log);
        this.feed = new FleetFeed(loop, clocks);
        this.watcher =
                new PlatformWatcher(platform.store(), platform.decoder(), state, clocks, control, log, watchListener());
        RegisteredNode self = new RegisteredNode(
                settings.nodeName(),
                settings.listeners().clients(),
                settings.dataCentre(),
                settings.listeners().digests(),
                settings.listeners().cache(),
                settings.linkBytesPerSecond());
        ControlParts parts = new ControlParts(self, platform.store(), items, watcher::view, clocks, control, log);
        this.lease = new NodeLease(parts, state, settings.minLeaseMillis());
        this.versions = new VersionKeeper(parts, lease, platform.engines(), settings.bounds());
        CrashReports crashes = new CrashReports(parts);
        this.connections = new UpstreamConnections(wire, clocks.monotonic(), loops, loop);
        CacheDirectory directory = new CacheDirectory();
        StoreFollower.Sources sources = new StoreFollower.Sources(platform.engines(), feed, this::hasHub);
        this.stores = new StoreFollower(sources, directory, watcher::view, loop, clocks, log);
        FeedFollower.Handlers handlers = new FeedFollower.Handlers(stores::numbers, watcher::onFed, stores::onFed);
        this.follower = new FeedFollower(watcher::view, self.name(), loops, loop, clocks, log, handlers);
        this.cleaner = new StoreCleaner(platform.engines(), directory, watcher::view, lease::isLeader, clocks, log);
        FleetLoads fleetLoads = new FleetLoads();
        WaitingRequests waiting = new WaitingRequests(loop, clocks, loads);
        this.digests = new LoadDigests(self, watcher::view, loads, fleetLoads, clocks, log);
        this.context = new RelayContext(
                settings,
                wire,
                watcher::view,
                watcher::confirmation,
                watcher::isConnected,
                clocks,
                loop,
                connections,
                loads,
                fleetLoads,
                directory,
                waiting,
                new RetryBudgets(
                        settings.bounds().retryShare(), settings.bounds().retrySlack()),
                crashes::report,
                new RelayMetrics(metrics),
                log);
        this.front = new FrontServer(context);
        registerGauges(directory);
        metrics.register("relay.waiting", (Gauge<Integer>) waiting::size);
    }

    /**
     * Starts the node.
     *
     * @throws PeerException if an address cannot be listened on
     */
    public void start() throws PeerException {
        watcher.start();
        front.listen(settings.listeners().clients(), loops, loop);
        digests.listen(loops, loop);
        servers.add(listen(settings.listeners().readiness(), this::answerReadiness));
        servers.add(listen(settings.listeners().lookups(), this::answerLookup));
        servers.add(listen(settings.listeners().cache(), this::answerFeedQuestion));
        if (!settings.listeners().metrics().isEmpty()) {
            servers.add(listen(settings.listeners().metrics(), this::answerMetrics));
        }
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        follower.start();
        lease.start();
        versions.start();
        log.state(LogFields.event("node started")
                .field("node", settings.nodeName())
                .field("dataCentre", settings.dataCentre())
                .field("clients", settings.listeners().clients()));
    }

    /**
     * Shuts down without cutting a request: leaves the look-up answers, serves as long as clients may hold one that
     * names this node, then waits for what is in progress until shortly before the grace period ends.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void shutDown() throws InterruptedException {
        long startMillis = clocks.nowMillis();
        leaving = true;
        log.state(LogFields.event("node stopping")
                .field("graceMillis", settings.bounds().graceMillis()));
        lease.leave();
        front.leave();
        long endMillis = startMillis + settings.bounds().graceMillis() - GRACE_MARGIN_MILLIS;
        long servesMillis = LOOKUP_TTL_SECONDS * LOOKUP_KEPT_TIMES * 1_000 + SWEEP_MILLIS;
        Thread.sleep(Math.max(0, Math.min(servesMillis, endMillis - clocks.nowMillis())));
        loop.submit(front::closeIdle).syncUninterruptibly();
        while (busy() > 0 && clocks.nowMillis() < endMillis) {
            Thread.sleep(DRAIN_CHECK_MILLIS);
        }
        log.state(LogFields.event("node stopped").field("busyConnections", busy()));
    }

    private int busy() {
        return loop.submit(front::busyConnections).syncUninterruptibly().getNow();
    }

    private boolean isReady() {
        return !leaving && watcher.view().routes().isPresent() && context.isConfirmed();
    }

    private void use(PlatformView view) {
        stores.refresh();
        loads.retain(view.incarnations());
    }

    private void sweep() {
        front.sweep();
        connections.sweep();
        cleaner.tick();
    }

    private DisposableServer listen(String address, Handler handler) {
        return HttpServer.create()
                .runOn(loops)
                .bindAddress(() -> SocketAddresses.of(address))
                .handle(handler::answer)
                .bindNow(Duration.ofSeconds(5));
    }

    /** Answers a request of one listener. */
    @FunctionalInterface
    private interface Handler {
        Mono<Void> answer(HttpServerRequest request, HttpServerResponse response);
    }

    private Mono<Void> answerReadiness(HttpServerRequest request, HttpServerResponse response) {
        if (!wire.isReadinessCheck(request.uri())) {
            return response.status(HttpResponseStatus.NOT_FOUND).send();
        }
        return response.status(isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE)
                .send();
    }

    private Mono<Void> answerFeedQuestion(HttpServerRequest request, HttpServerResponse response) {
        if (!request.uri().equals(FeedFollower.PATH)) {
            return response.status(HttpResponseStatus.NOT_FOUND).send();
        }
        return request.receive()
                .aggregate()
                .asByteArray()
                .flatMap(bytes -> Mono.fromCallable(() -> FeedMessages.decodeQuestion(bytes)))
                .flatMap(feed::ask)
                .flatMap(answer -> answer.isPresent()
                        ? response.sendByteArray(Mono.just(FeedMessages.encode(answer.get())))
                                .then()
                        : response.status(feed.reachesStore() ? FeedFollower.GONE : UNAVAILABLE)
                                .send())
                .onErrorResume(IOException.class, error -> {
                    log.request(
                            LogFields.event("question of a member not readable").error(error));
                    return response.status(HttpResponseStatus.BAD_REQUEST).send();
                });
    }

    private boolean hasHub() {
        return follower.hasHub();
    }

    private PlatformWatcher.Listener watchListener() {
        return new PlatformWatcher.Listener() {
            @Override
            public void onView(PlatformView view) {
                loop.execute(() -> use(view));
            }

            @Override
            public boolean isFed() {
                return follower.isFed();
            }

            @Override
            public void onChanges(
                    long fromRevision, MetadataStore.Changes changes, Confirmation confirmed, long backMillis) {
                loop.execute(() ->
                        feed.onPlatform(fromRevision, changes.items(), changes.revision(), confirmed, backMillis));
            }

            @Override
            public void onLost() {
                loop.execute(feed::onPlatformLost);
            }
        };
    }

    private Mono<Void> answerMetrics(HttpServerRequest request, HttpServerResponse response) {
        return response.sendString(Mono.fromSupplier(() -> MetricsText.of(metrics)))
                .then();
    }

    private Mono<Void> answerLookup(HttpServerRequest request, HttpServerResponse response) {
        Optional<String> dataCentre = wire.decodeLookup(request.uri());
        if (dataCentre.isEmpty()) {
            return response.status(HttpResponseStatus.NOT_FOUND).send();
        }
        List<String> addresses = addresses(dataCentre.get());
        if (addresses.isEmpty()) {
            return response.status(HttpResponseStatus.SERVICE_UNAVAILABLE).send();
        }
        byte[] body = wire.encodeLookup(addresses, LOOKUP_TTL_SECONDS);
        return response.header("Content-Type", "application/json")
                .sendByteArray(Mono.just(body))
                .then();
    }

    private List<String> addresses(String dataCentre) {
        List<RegisteredNode> nodes = watcher.view().nodes().values().stream()
                .filter(node -> !leaving || !node.name().equals(settings.nodeName()))
                .toList();
        List<String> near = nodes.stream()
                .filter(node -> node.dataCentre().equals(dataCentre))
                .map(RegisteredNode::address)
                .toList();
        return near.size() >= ENOUGH_NEAR_NODES
                ? near
                : nodes.stream().map(RegisteredNode::address).toList();
    }

    private void registerGauges(CacheDirectory directory) {
        metrics.register("platform.revision", (Gauge<Long>) () -> watcher.view().revision());
        metrics.register("platform.confirmed", (Gauge<Integer>) () -> context.isConfirmed() ? 1 : 0);
        metrics.register(
                "platform.nodes", (Gauge<Integer>) () -> watcher.view().nodes().size());
        metrics.register("platform.upstreams", (Gauge<Integer>)
                () -> watcher.view().servers().size());
        metrics.register("upstream.connectionsOpened", (Gauge<Long>) connections::opened);
        metrics.register("cache.partsInStores", (Gauge<Integer>) directory::size);
    }
}
