package org.cowslipbank.entry.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.cowslipbank.config.Team;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.decision.entries.DrainPlan;
import org.cowslipbank.decision.entries.Duty;
import org.cowslipbank.decision.entries.EndpointAnswer;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.decision.membership.MembershipSettings;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.entry.fleet.FleetService;
import org.cowslipbank.entry.fleet.FleetSettings;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.settings.SeedSettings;
import org.cowslipbank.entry.settings.TlsSettings;
import org.cowslipbank.entry.traffic.FleetState;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.UpstreamFact;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.PeerIdentity;
import org.cowslipbank.peer.PeerSecret;
import org.cowslipbank.peer.PeerSettings;
import org.cowslipbank.peer.PeerTls;
import org.cowslipbank.peer.PeerTransport;
import org.cowslipbank.peer.TcpPeerTransport;
import org.cowslipbank.ports.VmList;

/** This node's membership in the fleet: peer transport, membership protocol and address look-ups. */
final class FleetMembership implements FleetState {
    private static final long TICK_PERIOD_MILLIS = 100;
    private static final long VM_LIST_PERIOD_MILLIS = 5_000;
    private static final int LARGE_FLEET_MIN_SEEDS = 50;
    private static final int MAX_ENTRIES_IN_ANSWER = 3;
    private static final int UPSTREAM_FACT_TTL_SECONDS = 60;

    private final NodeSettings settings;
    private final UpstreamDataCentres upstreamDataCentres;
    private final PeerTransport transport;
    private final FleetService service;
    private DrainPlan drainPlan = DrainPlan.NONE;

    FleetMembership(NodeSettings settings, NodeSecrets secrets, VmList vmList, UpstreamDataCentres upstreamDataCentres)
            throws ConfigurationException {
        this.settings = settings;
        this.upstreamDataCentres = upstreamDataCentres;
        int peerPort = settings.peers().port();
        String peerAddress = settings.peers().host() + ":" + peerPort;
        VmId self = new VmId(settings.vm());
        DataCentreId dataCentre = new DataCentreId(settings.dataCentre());
        int callerPort = settings.callers().port();
        this.transport = new TcpPeerTransport(new PeerSettings(
                new PeerIdentity(self, dataCentre, peerAddress, callerPort),
                settings.peers().host(),
                peerPort,
                PeerSecret.of(secrets.fleetSecret()),
                Optional.ofNullable(settings.tls()).map(FleetMembership::peerTls),
                PeerSettings.Limits.DEFAULT));
        List<NodeAddress> seeds =
                settings.seeds().stream().map(FleetMembership::seedAddress).toList();
        MembershipSettings membership =
                seeds.size() < LARGE_FLEET_MIN_SEEDS ? MembershipSettings.SMALL_FLEET : MembershipSettings.LARGE_FLEET;
        this.service = new FleetService(
                new FleetSettings(
                        new NodeAddress(self, dataCentre, peerAddress, callerPort),
                        seeds,
                        membership,
                        TICK_PERIOD_MILLIS,
                        VM_LIST_PERIOD_MILLIS,
                        settings.vm().hashCode() ^ System.nanoTime()),
                transport,
                vmList,
                FleetService.monotonicClock());
    }

    /** Finds a free port for a listener whose settings name port zero. */
    static int freePort(String host) throws ConfigurationException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new ConfigurationException(
                    "settings", 0, "$.peers", "no free TCP port on " + host + ": " + e.getMessage());
        }
    }

    FleetService service() {
        return service;
    }

    PeerTransport transport() {
        return transport;
    }

    void start() {
        transport.start().block();
        service.start().block();
    }

    void stop() {
        service.stop().block();
        transport.stop().block();
    }

    Optional<PeerAddress> addressOf(VmId vm) {
        return service.snapshot().view().nodes().stream()
                .map(FleetNode::node)
                .filter(node -> node.vm().equals(vm))
                .map(node -> new PeerAddress(node.vm(), node.address()))
                .findFirst();
    }

    synchronized EndpointAnswer lookUpEntries(Team team, String sessionKey) {
        EndpointAnswer answer = service.snapshot()
                .lookUpEntries(
                        team,
                        sessionKey,
                        new DataCentreId(settings.dataCentre()),
                        MAX_ENTRIES_IN_ANSWER,
                        settings.entriesValidMillis(),
                        service.nowMillis());
        drainPlan = drainPlan.withIssuedAnswer(answer);
        return answer;
    }

    /** Announces that this node leaves and returns how long it must keep serving, in milliseconds. */
    synchronized long drain() {
        service.drain();
        long nowMillis = service.nowMillis();
        return drainPlan.serveUntilMillis(nowMillis, settings.entriesValidMillis()) - nowMillis;
    }

    /** Publishes to every node whether an engine is leaving and so takes no new work. */
    void announceUpstream(UpstreamId upstream, boolean leaving) {
        UpstreamFact fact = new UpstreamFact(upstream, leaving, service.nowMillis(), UPSTREAM_FACT_TTL_SECONDS);
        service.publish(new GossipPayload(List.of(), List.of(fact), List.of(), List.of(), List.of()));
    }

    /** Returns whether the control of a model's group is assigned to this node. */
    boolean controlsModelGroup(String model) {
        return service.snapshot()
                .assignDuty(Duty.CONTROL_MODEL_GROUP, model, List.of(), service.nowMillis())
                .mine();
    }

    @Override
    public Set<UpstreamId> leavingUpstreams() {
        return service.snapshot().view().leavingUpstreams();
    }

    @Override
    public double distanceMillis(UpstreamId upstream) {
        return upstreamDataCentres
                .dataCentreOf(upstream)
                .map(dataCentre -> settings.distancesMillis().getOrDefault(dataCentre.value(), 0.0))
                .orElse(0.0);
    }

    @Override
    public VmId self() {
        return new VmId(settings.vm());
    }

    // Includes draining nodes, since they still send requests to upstreams.
    @Override
    public List<VmId> nodes() {
        return service.snapshot().view().nodes().stream()
                .filter(FleetNode::reachable)
                .map(node -> node.node().vm())
                .toList();
    }

    @Override
    public int teamNodeCount(TeamLimits limits) {
        return service.snapshot().teamNodes(limits);
    }

    private static PeerTls peerTls(TlsSettings tls) {
        return new PeerTls(Path.of(tls.certificateFile()), Path.of(tls.keyFile()), Path.of(tls.trustFile()));
    }

    private static NodeAddress seedAddress(SeedSettings seed) {
        String callerAddress = seed.callerAddress();
        int callerPort = Integer.parseInt(callerAddress.substring(callerAddress.lastIndexOf(':') + 1));
        return new NodeAddress(
                new VmId(seed.vm()), new DataCentreId(seed.dataCentre()), seed.peerAddress(), callerPort);
    }

    /** Looks up the data centre of an upstream; empty if the upstream is not configured. */
    @FunctionalInterface
    interface UpstreamDataCentres {
        Optional<DataCentreId> dataCentreOf(UpstreamId upstream);
    }
}
