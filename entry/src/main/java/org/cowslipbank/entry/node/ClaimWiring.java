package org.cowslipbank.entry.node;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;

import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.ClaimSettings;
import org.cowslipbank.decision.claims.ClaimTime;
import org.cowslipbank.decision.claims.PartitionRequest;
import org.cowslipbank.decision.entries.Duty;
import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.entry.claims.ClaimMessages;
import org.cowslipbank.entry.claims.ClaimNode;
import org.cowslipbank.entry.claims.ClaimPeers;
import org.cowslipbank.entry.claims.ClaimService;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.PeerTransport;
import org.cowslipbank.peer.RequestKind;
import org.cowslipbank.ports.KeyValueStore;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Connects the claim service to the fleet: partition owners, forwarded claims and sequence queries between nodes. */
final class ClaimWiring {
    // The owner and one fallback if the owner cannot be reached.
    private static final int OWNERS_PER_PARTITION = 2;
    private static final long FORWARD_TIMEOUT_MILLIS = 2_500;
    private static final long SEQUENCE_QUERY_TIMEOUT_MILLIS = 800;

    private final VmId self;
    private final List<String> regionDataCentres;
    private final FleetMembership fleet;
    private final PeerTransport transport;
    private final ClaimService service;

    ClaimWiring(NodeSettings settings, FleetMembership fleet, KeyValueStore store, Scheduler scheduler) {
        this.self = new VmId(settings.vm());
        this.regionDataCentres = settings.regionDataCentres();
        this.fleet = fleet;
        this.transport = fleet.transport();
        this.service = new ClaimService(
                new ClaimNode(self, UUID.randomUUID().toString(), ClaimSettings.DEFAULT),
                store,
                new ClaimPeers(this::ownersOf, this::forward, this::queryHighestSequence),
                scheduler,
                () -> new ClaimTime(System.nanoTime() / 1_000_000, System.currentTimeMillis()));
        transport.onRequest(RequestKind.CLAIM, (from, body) -> serveClaim(body));
        transport.onRequest(RequestKind.CLAIM_SEQUENCE, (from, body) -> serveHighestSequence(ByteBuffer.wrap(body))
                .map(highest -> ByteBuffer.allocate(Long.BYTES).putLong(highest).array()));
    }

    ClaimService service() {
        return service;
    }

    private List<VmId> ownersOf(int partition) {
        List<FleetNode> workingNodes =
                regionNodes().stream().filter(FleetNode::acceptsWork).toList();
        List<VmId> owners = Rendezvous.top(
                        Rendezvous.key(Duty.CLAIMS_PARTITION.name(), Integer.toString(partition)),
                        workingNodes,
                        node -> node.node().vm().value(),
                        OWNERS_PER_PARTITION)
                .stream()
                .map(node -> node.node().vm())
                .toList();
        return owners.isEmpty() ? List.of(self) : owners;
    }

    private List<FleetNode> regionNodes() {
        return fleet.service().snapshot().view().nodes().stream()
                .filter(node -> regionDataCentres.isEmpty()
                        || regionDataCentres.contains(node.node().dataCentre().value()))
                .toList();
    }

    private Mono<ClaimOutcome> forward(VmId node, PartitionRequest request) {
        Optional<PeerAddress> address = fleet.addressOf(node);
        if (address.isEmpty()) {
            return Mono.error(new PeerException(
                    ProcessingStep.CLAIM,
                    node.value(),
                    RunState.NOT_RUN,
                    "cannot forward claim: node is not in the fleet view"));
        }
        return transport
                .request(address.get(), RequestKind.CLAIM, ClaimMessages.encode(request), FORWARD_TIMEOUT_MILLIS)
                .handle((bytes, sink) -> {
                    try {
                        sink.next(ClaimMessages.decodeOutcome(bytes));
                    } catch (PeerException e) {
                        sink.error(e);
                    }
                });
    }

    private Mono<byte[]> serveClaim(byte[] body) {
        try {
            return service.serve(ClaimMessages.decodeRequest(body)).map(ClaimMessages::encode);
        } catch (PeerException e) {
            return Mono.error(e);
        }
    }

    private Mono<Long> serveHighestSequence(ByteBuffer query) {
        int partition = query.getInt();
        return service.highestSequence(partition, query.getLong());
    }

    // Empty unless every node of the region answers. A node marked dead counts as unanswered: it may have written
    // before it died.
    private Mono<OptionalLong> queryHighestSequence(int partition, long confirmedAgeMillis) {
        if (!fleet.service().snapshot().view().deadNodes().isEmpty()) {
            return Mono.just(OptionalLong.empty());
        }
        byte[] body = ByteBuffer.allocate(Integer.BYTES + Long.BYTES)
                .putInt(partition)
                .putLong(confirmedAgeMillis)
                .array();
        return Flux.fromIterable(regionNodes())
                .filter(node -> !node.node().vm().equals(self))
                .flatMap(node -> transport.request(
                        new PeerAddress(node.node().vm(), node.node().address()),
                        RequestKind.CLAIM_SEQUENCE,
                        body,
                        SEQUENCE_QUERY_TIMEOUT_MILLIS))
                .map(answer -> ByteBuffer.wrap(answer).getLong())
                .reduce(0L, Math::max)
                .map(OptionalLong::of)
                .onErrorReturn(OptionalLong.empty());
    }
}
