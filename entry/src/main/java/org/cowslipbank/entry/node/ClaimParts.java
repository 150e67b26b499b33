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
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.model.VmId;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.PeerTransport;
import org.cowslipbank.peer.RequestKind;
import org.cowslipbank.ports.KeyValueStore;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Connects the claims of a node with the fleet. */
final class ClaimParts {
    private static final int OWNERS_ASKED = 2;
    private static final long FORWARD_TIMEOUT_MILLIS = 2_500;
    private static final long WITNESS_TIMEOUT_MILLIS = 800;

    private final VmId self;
    private final List<String> regionDataCentres;
    private final FleetParts fleet;
    private final PeerTransport transport;
    private final ClaimService service;

    ClaimParts(NodeSettings settings, FleetParts fleet, KeyValueStore store, Scheduler scheduler) {
        this.self = new VmId(settings.vm());
        this.regionDataCentres = settings.regionDataCentres();
        this.fleet = fleet;
        this.transport = fleet.transport();
        this.service = new ClaimService(
                new ClaimNode(self, UUID.randomUUID().toString(), ClaimSettings.DEFAULT),
                store,
                new ClaimPeers(this::owners, this::forward, this::highestSequence),
                scheduler,
                () -> new ClaimTime(System.nanoTime() / 1_000_000, System.currentTimeMillis()));
        transport.onRequest(RequestKind.CLAIM, (from, body) -> serve(body));
        transport.onRequest(RequestKind.CLAIM_SEQUENCE, (from, body) -> highestHere(ByteBuffer.wrap(body))
                .map(highest -> ByteBuffer.allocate(Long.BYTES).putLong(highest).array()));
    }

    ClaimService service() {
        return service;
    }

    private List<VmId> owners(int partition) {
        List<FleetNode> working =
                regionNodes().stream().filter(FleetNode::takesWork).toList();
        List<VmId> owners = Rendezvous.top(
                        Rendezvous.key(Duty.CLAIMS_PARTITION.name(), Integer.toString(partition)),
                        working,
                        node -> node.node().vm().value(),
                        OWNERS_ASKED)
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
            return Mono.error(new PeerException(Step.CLAIM, node.value(), RunState.NOT_RUN, "node is not known"));
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

    private Mono<byte[]> serve(byte[] body) {
        try {
            return service.serve(ClaimMessages.decodeRequest(body)).map(ClaimMessages::encode);
        } catch (PeerException e) {
            return Mono.error(e);
        }
    }

    private Mono<Long> highestHere(ByteBuffer question) {
        int partition = question.getInt();
        return service.highestSequence(partition, question.getLong());
    }

    // A node that is held for dead may have written before it died, so it counts as one that has not answered.
    private Mono<OptionalLong> highestSequence(int partition, long confirmedAgeMillis) {
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
                        WITNESS_TIMEOUT_MILLIS))
                .map(answer -> ByteBuffer.wrap(answer).getLong())
                .reduce(0L, Math::max)
                .map(OptionalLong::of)
                .onErrorReturn(OptionalLong.empty());
    }
}
