package org.cowslipbank.entry.node;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.config.Team;
import org.cowslipbank.entry.http.CallerApi;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.entry.traffic.DecisionRecorder;
import org.cowslipbank.entry.traffic.FleetView;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.entry.traffic.PromptRunner;
import org.cowslipbank.entry.traffic.StoreTable;
import org.cowslipbank.entry.traffic.TeamSecrets;
import org.cowslipbank.entry.traffic.TrafficContext;
import org.cowslipbank.entry.traffic.TrafficMetrics;
import org.cowslipbank.entry.traffic.TrafficSettings;
import org.cowslipbank.entry.traffic.UpstreamTable;
import org.cowslipbank.model.PromptChain;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.OutsideSystems;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** A node of the system, as a library. */
public final class Node implements AutoCloseable {
    private final NodeSettings settings;
    private final Supplier<ConfigurationIndex> configuration;
    private final MetricRegistry metrics = new MetricRegistry();
    private final PromptRunner prompts;
    private final LoadPoller loads;
    private DisposableServer callers;

    /**
     * Puts a node together; nothing is started yet.
     *
     * @param settings the settings
     * @param systems the outside systems
     * @param configuration gives the configuration in force
     * @param fleetSecret the fleet's secret
     */
    public Node(
            NodeSettings settings,
            OutsideSystems systems,
            Supplier<ConfigurationIndex> configuration,
            byte[] fleetSecret) {
        this.settings = settings;
        this.configuration = configuration;
        UpstreamTable upstreams = new UpstreamTable();
        int pieceBytes = settings.pieceBytes() == 0 ? PromptChain.DEFAULT_PIECE_BYTES : settings.pieceBytes();
        this.prompts = new PromptRunner(new TrafficContext(
                systems,
                configuration,
                new SingleNodeView(),
                upstreams,
                new StoreTable(),
                new TeamSecrets(fleetSecret),
                new TrafficSettings(pieceBytes, settings.engineCacheMillis()),
                MonotonicClock.SYSTEM,
                DecisionRecorder.NONE,
                new TrafficMetrics(metrics)));
        this.loads = new LoadPoller(systems, configuration, upstreams);
    }

    /** Starts the node. */
    public void start() {
        loads.start();
        prompts.start();
        CallerApi api = new CallerApi(
                configuration,
                prompts::run,
                this::entries,
                (team, request, body, response) -> Mono.empty(),
                () -> {},
                Clock.systemUTC());
        callers = HttpServer.create()
                .host(settings.callers().host())
                .port(settings.callers().port())
                .route(api::addRoutes)
                .bindNow();
    }

    /**
     * Returns the address of the callers' listener.
     *
     * @return the address as {@code IP:port}
     */
    public String callerAddress() {
        return callers.host() + ":" + callers.port();
    }

    @Override
    public void close() {
        callers.disposeNow(Duration.ofSeconds(1));
        prompts.stop();
        loads.stop();
    }

    private ObjectNode entries(Team team, String sessionKey) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.putArray("entries").addObject().put("vm", settings.vm()).put("address", callerAddress());
        body.put("valid_seconds", 10);
        return body;
    }

    private static final class SingleNodeView implements FleetView {
        @Override
        public Set<UpstreamId> leavingUpstreams() {
            return Set.of();
        }

        @Override
        public double distanceMillis(UpstreamId upstream) {
            return 0;
        }

        @Override
        public VmId self() {
            return new VmId("self");
        }

        @Override
        public List<VmId> nodes() {
            return List.of(self());
        }

        @Override
        public int teamSubsetSize() {
            return 1;
        }
    }
}
