package org.cowslipbank.entry.node;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.config.Team;
import org.cowslipbank.config.Upstream;
import org.cowslipbank.decision.claims.PlatformBudget;
import org.cowslipbank.decision.entries.EndpointAnswer;
import org.cowslipbank.entry.admin.AdminApi;
import org.cowslipbank.entry.admin.NodeControl;
import org.cowslipbank.entry.claims.BudgetedKeyValueStore;
import org.cowslipbank.entry.claims.ClaimService;
import org.cowslipbank.entry.http.CallerApi;
import org.cowslipbank.entry.http.ServiceApi;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.rollout.RolloutContext;
import org.cowslipbank.entry.rollout.RolloutService;
import org.cowslipbank.entry.settings.ListenSettings;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.settings.TlsSettings;
import org.cowslipbank.entry.suspects.SuspectService;
import org.cowslipbank.entry.trace.FileDecisionRecorder;
import org.cowslipbank.entry.traffic.DecisionRecorder;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.entry.traffic.PromptRunner;
import org.cowslipbank.entry.traffic.StoreTable;
import org.cowslipbank.entry.traffic.TeamSecrets;
import org.cowslipbank.entry.traffic.TrafficContext;
import org.cowslipbank.entry.traffic.TrafficMetrics;
import org.cowslipbank.entry.traffic.TrafficSettings;
import org.cowslipbank.entry.traffic.UpstreamTable;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.PromptChain;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.ports.ExternalSystems;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/** An entry node, embeddable as a library. */
public final class Node implements NodeControl, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(Node.class);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);
    private static final long IN_PROGRESS_CHECK_MILLIS = 50;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final NodeSettings settings;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Scheduler control = Schedulers.newSingle("control", true);
    private final PlatformRateShare platformRateShare;
    private final FleetMembership fleet;
    private final ConfigurationWiring configuration;
    private final ClaimService claims;
    private final UpstreamTable upstreams = new UpstreamTable();
    private final StoreTable stores = new StoreTable();
    private final SuspectService suspects;
    private final DecisionRecorder recorder;
    private final PromptRunner prompts;
    private final LoadPoller loadPoller;
    private final ServiceApi services;
    private final AdminApi admin;
    private final RolloutService orders;
    private final LookupHints lookupHints;
    private final NodeStatus status;
    private DisposableServer callerServer;
    private DisposableServer adminServer;
    private volatile boolean draining;
    private volatile boolean refusingRequests;

    /**
     * Creates a node and its services without starting them.
     *
     * @param settings the settings; the ports of callers and peers must be set
     * @param systems the outside systems
     * @param secrets the secrets
     * @throws ConfigurationException if settings or secrets cannot be used
     */
    public Node(NodeSettings settings, ExternalSystems systems, NodeSecrets secrets) throws ConfigurationException {
        this.settings = settings;
        this.fleet = new FleetMembership(settings, secrets, systems.vmList(), this::dataCentreOf);
        this.platformRateShare = new PlatformRateShare(systems.keyValueStore(), control, fleet);
        this.configuration = new ConfigurationWiring(settings, fleet, platformRateShare.configurationStores(), control);
        BudgetedKeyValueStore claimStore = platformRateShare.storeFor(PlatformBudget.Priority.CLAIMS);
        this.claims = new ClaimWiring(settings, fleet, claimStore, control).service();
        this.suspects = new SuspectWiring(settings, fleet, control).service();
        this.recorder = openRecorder(settings);
        int pieceBytes = settings.pieceBytes() == 0 ? PromptChain.DEFAULT_PIECE_BYTES : settings.pieceBytes();
        this.prompts = new PromptRunner(new TrafficContext(
                systems,
                configuration::index,
                fleet,
                upstreams,
                stores,
                new TeamSecrets(secrets.fleetSecret()),
                new TrafficSettings(pieceBytes, settings.engineCacheMillis()),
                MonotonicClock.SYSTEM,
                recorder,
                suspects,
                new TrafficMetrics(metrics)));
        this.loadPoller = new LoadPoller(systems, configuration::index, upstreams);
        this.services = new ServiceApi(systems, configuration::index, claims, settings.region());
        this.orders = new RolloutService(
                new RolloutContext(
                        fleet.self(),
                        systems,
                        platformRateShare.storeFor(PlatformBudget.Priority.COMMANDS),
                        configuration::index,
                        fleet::announceUpstream,
                        control,
                        MonotonicClock.SYSTEM),
                fleet::controlsModelGroup);
        this.lookupHints = new LookupHints(fleet, configuration::index, prompts::prefetch);
        this.status = new NodeStatus(fleet, configuration, upstreams, stores, metrics);
        this.admin = new AdminApi(
                configuration.service(),
                configuration::change,
                secrets.operatorsByKeySha256(),
                this,
                metrics,
                Clock.systemUTC());
        registerGauges();
    }

    /**
     * Starts the node: first its fleet membership, then configuration, claims and traffic, last the listeners.
     *
     * @throws ConfigurationException if the first configuration or the TLS settings are invalid
     */
    public void start() throws ConfigurationException {
        fleet.start();
        platformRateShare.start();
        configuration.start();
        claims.start();
        suspects.start();
        loadPoller.start();
        prompts.start();
        orders.start();
        CallerApi callers = new CallerApi(
                configuration::index,
                prompts::run,
                this::lookUpEntries,
                services,
                this::checkAcceptsRequests,
                Clock.systemUTC());
        callerServer = listen(settings.callers(), callers::addRoutes);
        adminServer = listen(settings.admin(), admin::addRoutes);
        LOG.info(LogFields.event("node started")
                .field("vm", settings.vm())
                .field("callers", callerAddress())
                .field("admin", adminAddress()));
    }

    /**
     * Returns the address of the callers' listener.
     *
     * @return the address as {@code IP:port}
     */
    public String callerAddress() {
        return callerServer.host() + ":" + callerServer.port();
    }

    /**
     * Returns the address of the operators' listener.
     *
     * @return the address as {@code IP:port}
     */
    public String adminAddress() {
        return adminServer.host() + ":" + adminServer.port();
    }

    /**
     * Returns the address of a store in the configuration in force.
     *
     * @param store the store
     * @return the address as {@code IP:port}; one that refuses connections if the store is not configured
     */
    public String storeAddress(StoreId store) {
        return configuration.index().store(store).map(StoreVm::address).orElse("127.0.0.1:1");
    }

    /**
     * Returns the configuration revision in force here.
     *
     * @return the revision
     */
    public long revision() {
        return configuration.index().configuration().revision();
    }

    @Override
    public boolean isReady() {
        return !draining && configuration.mayServe();
    }

    @Override
    public ObjectNode status() {
        return status.toJson(settings.vm(), isReady(), draining, inProgress());
    }

    @Override
    public long drain() {
        draining = true;
        long serveMillis = fleet.drain();
        LOG.info(LogFields.event("drain started").field("servesForMillis", serveMillis));
        return serveMillis;
    }

    /**
     * Shuts down gracefully: withdraws the node from look-up answers, serves as long as callers may hold an answer that
     * names it, refuses new requests, waits for those in progress, then stops.
     *
     * @param maxWait longest wait for requests in progress after the node has stopped taking new ones
     * @return true if no request was aborted
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public boolean shutDown(Duration maxWait) throws InterruptedException {
        Thread.sleep(drain());
        refusingRequests = true;
        long untilNanos = System.nanoTime() + maxWait.toNanos();
        while (inProgress() > 0 && System.nanoTime() < untilNanos) {
            Thread.sleep(IN_PROGRESS_CHECK_MILLIS);
        }
        boolean idle = inProgress() == 0;
        close();
        return idle;
    }

    /** Stops at once and aborts the requests in progress. */
    @Override
    public void close() {
        dispose(callerServer);
        dispose(adminServer);
        orders.stop();
        prompts.stop();
        loadPoller.stop();
        suspects.stop();
        claims.close();
        configuration.stop();
        platformRateShare.stop();
        fleet.stop();
        closeRecorder();
        // Lets the closing tasks that the services have scheduled run before the thread ends.
        control.disposeGracefully().timeout(STOP_TIMEOUT).onErrorComplete().block();
    }

    private DecisionRecorder openRecorder(NodeSettings from) throws ConfigurationException {
        if (from.traceFile() == null) {
            return DecisionRecorder.NONE;
        }
        try {
            return new FileDecisionRecorder(
                    Path.of(from.traceFile()),
                    FileDecisionRecorder.DEFAULT_CAPACITY,
                    System::currentTimeMillis,
                    this::revision);
        } catch (IOException e) {
            throw new ConfigurationException(
                    from.traceFile(), 0, "$.traceFile", "cannot open the trace file for writing: " + e.getMessage());
        }
    }

    private void closeRecorder() {
        if (recorder instanceof FileDecisionRecorder file) {
            file.close();
        }
    }

    private int inProgress() {
        return prompts.inProgress() + services.inProgress();
    }

    private Optional<DataCentreId> dataCentreOf(UpstreamId id) {
        return configuration.index().upstream(id).map(Upstream::dataCentre);
    }

    private void checkAcceptsRequests() throws RefusedException {
        if (refusingRequests) {
            throw refused("node_leaving", "the node is shutting down; look up the addresses again");
        }
        if (prompts.isOverloaded()) {
            throw refused("node_overloaded", "the node is short of processor time; use another node");
        }
        if (!configuration.mayServe()) {
            throw refused("configuration_unconfirmed", "the node cannot confirm its configuration; use another node");
        }
    }

    private static RefusedException refused(String code, String message) {
        return new RefusedException(ProcessingStep.ADMIT, Refusal.later(503, code, message, RETRY_AFTER_MILLIS));
    }

    private ObjectNode lookUpEntries(Team team, String sessionKey) {
        EndpointAnswer answer = fleet.lookUpEntries(team, sessionKey);
        lookupHints.send(team, sessionKey, answer);
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        answer.nodes().forEach(node -> body.withArray("entries")
                .addObject()
                .put("vm", node.vm().value())
                .put("data_centre", node.dataCentre().value())
                .put("address", node.callerAddress()));
        body.put("valid_millis", answer.validMillis());
        body.put("window", claims.currentWindow());
        return body;
    }

    private DisposableServer listen(ListenSettings listen, Consumer<HttpServerRoutes> routes)
            throws ConfigurationException {
        HttpServer server =
                HttpServer.create().host(listen.host()).port(listen.port()).route(routes);
        TlsSettings tls = settings.tls();
        return (tls == null ? server : ServerTls.secure(server, tls)).bindNow();
    }

    private static void dispose(DisposableServer server) {
        if (server != null) {
            server.disposeNow(STOP_TIMEOUT);
        }
    }

    private void registerGauges() {
        metrics.register("fleet.nodes", (Gauge<Integer>) () -> fleet.nodes().size());
        metrics.register("fleet.confirmed", (Gauge<Integer>)
                () -> fleet.service().snapshot().isConfirmed(fleet.service().nowMillis()) ? 1 : 0);
        metrics.register("configuration.revision", (Gauge<Long>)
                () -> configuration.index().configuration().revision());
        metrics.register("configuration.confirmed", (Gauge<Integer>) () -> configuration.mayServe() ? 1 : 0);
        metrics.register("traffic.overloaded", (Gauge<Integer>) () -> prompts.isOverloaded() ? 1 : 0);
        metrics.register("traffic.inProgress", (Gauge<Integer>) this::inProgress);
    }
}
