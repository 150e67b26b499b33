package org.cowslipbank.entry.node;

import java.util.List;
import java.util.Optional;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.suspects.SuspectClock;
import org.cowslipbank.entry.suspects.SuspectPeers;
import org.cowslipbank.entry.suspects.SuspectService;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.RequestKind;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Connects the service for suspect requests to the fleet: choice of the arbiter and messages between nodes. */
final class SuspectWiring implements SuspectPeers {
    private static final long REQUEST_TIMEOUT_MILLIS = 500;
    private static final String ARBITER_KEY = "SUSPECT_ARBITER";

    private final NodeSettings settings;
    private final FleetMembership fleet;
    private final SuspectService service;

    SuspectWiring(NodeSettings settings, FleetMembership fleet, Scheduler scheduler) {
        this.settings = settings;
        this.fleet = fleet;
        this.service = new SuspectService(this, scheduler, SuspectClock.SYSTEM);
        fleet.transport().onRequest(RequestKind.SUSPECTS, (from, body) -> service.serve(body));
    }

    SuspectService service() {
        return service;
    }

    @Override
    public VmId self() {
        return fleet.self();
    }

    @Override
    public VmId arbiterNode() {
        List<VmId> nodes = fleet.service().snapshot().view().nodes().stream()
                .filter(FleetNode::acceptsWork)
                .filter(node -> settings.regionDataCentres().isEmpty()
                        || settings.regionDataCentres()
                                .contains(node.node().dataCentre().value()))
                .map(node -> node.node().vm())
                .toList();
        return Rendezvous.owner(ARBITER_KEY, nodes, VmId::value).orElse(self());
    }

    @Override
    public List<VmId> otherNodes() {
        return fleet.nodes().stream().filter(node -> !node.equals(self())).toList();
    }

    @Override
    public Mono<byte[]> request(VmId node, byte[] body) {
        Optional<PeerAddress> address = fleet.addressOf(node);
        if (address.isEmpty()) {
            return Mono.error(new PeerException(
                    ProcessingStep.PEER,
                    node.value(),
                    RunState.NOT_RUN,
                    "cannot send suspect query: node is not in the fleet view"));
        }
        return fleet.transport().request(address.get(), RequestKind.SUSPECTS, body, REQUEST_TIMEOUT_MILLIS);
    }
}
