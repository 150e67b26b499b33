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
import org.cowslipbank.decision.entries.EntryAnswer;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.decision.membership.MembershipSettings;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.entry.fleet.FleetService;
import org.cowslipbank.entry.fleet.FleetSettings;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.settings.SeedSettings;
import org.cowslipbank.entry.settings.TlsSettings;
import org.cowslipbank.entry.traffic.FleetView;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.Facts;
import org.cowslipbank.model.fleet.UpstreamFact;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.PeerIdentity;
import org.cowslipbank.peer.PeerSecret;
import org.cowslipbank.peer.PeerSettings;
import org.cowslipbank.peer.PeerTls;
import org.cowslipbank.peer.PeerTransport;
import org.cowslipbank.peer.TcpPeerTransport;
import org.cowslipbank.ports.VmList;

/** The node's place in the fleet: transport, membership and address look-ups. */
final class FleetParts implements FleetView {
    private static final long TICK_MILLIS = 100;
    private static final long VM_LIST_PERIOD_MILLIS = 5_000;
    private static final int LARGE_FLEET_NODES = 50;
    private static final int ENTRIES_IN_ANSWER = 3;
    private static final int UPSTREAM_FACT_SECONDS = 60;

    private final NodeSettings settings;
    private final UpstreamPlaces upstreamPlaces;
    private final PeerTransport transport;
    private final FleetService service;
    private DrainPlan drainPlan = DrainPlan.NONE;

    FleetParts(NodeSettings settings, NodeSecrets secrets, VmList vmList, UpstreamPlaces upstreamPlaces)
            throws ConfigurationException {
        this.settings = settings;
        this.upstreamPlaces = upstreamPlaces;
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
                Optional.ofNullable(settings.tls()).map(FleetParts::peerTls),
                PeerSettings.Limits.DEFAULT));
        List<NodeAddress> seeds =
                settings.seeds().stream().map(FleetParts::seedAddress).toList();
        MembershipSettings membership =
                seeds.size() < LARGE_FLEET_NODES ? MembershipSettings.SMALL_FLEET : MembershipSettings.LARGE_FLEET;
        this.service = new FleetService(
                new FleetSettings(
                        new NodeAddress(self, dataCentre, peerAddress, callerPort),
                        seeds,
                        membership,
                        TICK_MILLIS,
                        VM_LIST_PERIOD_MILLIS,
                        settings.vm().hashCode() ^ System.nanoTime()),
                transport,
                vmList,
                FleetService.monotonicClock());
    }

    /** Finds a free port for a listener whose settings leave it open. */
    static int freePort(String host) throws ConfigurationException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, 0));
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new ConfigurationException("settings", 0, "$.peers", "no free port on " + host);
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

    synchronized EntryAnswer entries(Team team, String sessionKey) {
        EntryAnswer answer = service.snapshot()
                .entries(
                        team,
                        sessionKey,
                        new DataCentreId(settings.dataCentre()),
                        ENTRIES_IN_ANSWER,
                        settings.entriesValidMillis(),
                        service.nowMillis());
        drainPlan = drainPlan.issued(answer);
        return answer;
    }

    /** Announces that this node leaves and returns how long it must go on serving, in milliseconds. */
    synchronized long drain() {
        service.drain();
        long nowMillis = service.nowMillis();
        return drainPlan.serveUntilMillis(nowMillis, settings.entriesValidMillis()) - nowMillis;
    }

    /** Tells every node whether an engine takes new work. */
    void announceUpstream(UpstreamId upstream, boolean leaving) {
        UpstreamFact fact = new UpstreamFact(upstream, leaving, service.nowMillis(), UPSTREAM_FACT_SECONDS);
        service.publish(new Facts(List.of(), List.of(fact), List.of(), List.of(), List.of()));
    }

    /** Tells whether this node has the duty to control a model's group. */
    boolean controls(String model) {
        return service.snapshot()
                .duty(Duty.CONTROL_MODEL_GROUP, model, List.of(), service.nowMillis())
                .mine();
    }

    @Override
    public Set<UpstreamId> leavingUpstreams() {
        return service.snapshot().view().leavingUpstreams();
    }

    @Override
    public double distanceMillis(UpstreamId upstream) {
        return upstreamPlaces
                .dataCentreOf(upstream)
                .map(dataCentre -> settings.distancesMillis().getOrDefault(dataCentre.value(), 0.0))
                .orElse(0.0);
    }

    @Override
    public VmId self() {
        return new VmId(settings.vm());
    }

    // A draining node still sends to upstreams, so it stays in the list.
    @Override
    public List<VmId> nodes() {
        return service.snapshot().view().nodes().stream()
                .filter(FleetNode::reachable)
                .map(node -> node.node().vm())
                .toList();
    }

    @Override
    public int teamNodes(TeamLimits limits) {
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

    /** Finds the data centre of an upstream. */
    @FunctionalInterface
    interface UpstreamPlaces {
        Optional<DataCentreId> dataCentreOf(UpstreamId upstream);
    }
}
