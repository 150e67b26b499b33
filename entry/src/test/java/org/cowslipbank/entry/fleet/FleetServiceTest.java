package org.cowslipbank.entry.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.config.Team;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.decision.entries.Duty;
import org.cowslipbank.decision.membership.MembershipSettings;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.UpstreamFact;
import org.cowslipbank.peer.InMemoryPeerNetwork;
import org.cowslipbank.peer.PeerIdentity;
import org.cowslipbank.peer.PeerTransport;
import reactor.core.publisher.Mono;

class FleetServiceTest {
    private static final Team TEAM =
            new Team(new TeamId("t"), List.of(), new TeamLimits(10, 20, 10, 1), List.of(), List.of(), "region");
    private static final DataCentreId DATA_CENTRE = new DataCentreId("dc");
    private static final UpstreamId ENGINE = new UpstreamId("engine");

    private final InMemoryPeerNetwork network = new InMemoryPeerNetwork();
    private final AtomicLong clockOffsetMillis = new AtomicLong();
    private final List<FleetService> services = new ArrayList<>();

    @AfterTry
    void stopAll() {
        services.forEach(service -> service.stop().block());
    }

    /** Guards against nodes that never see a drain or a leaving upstream and keep sending it callers or work. */
    @Example
    void drainAndLeavingUpstreamReachTheOtherNodes() {
        startThreeNodes();
        FleetService last = services.get(2);
        services.get(0).drain();
        services.get(1)
                .publish(new GossipPayload(
                        List.of(),
                        List.of(new UpstreamFact(ENGINE, true, last.nowMillis(), 60)),
                        List.of(),
                        List.of(),
                        List.of()));
        await(() -> last.snapshot().view().leavingUpstreams().contains(ENGINE));
        await(() -> last.snapshot()
                        .lookUpEntries(TEAM, "", DATA_CENTRE, 9, 30_000, last.nowMillis())
                        .nodes()
                        .size()
                == 2);
    }

    /** Guards against a traffic thread that acts on a snapshot, and so on expired leases, from before a pause. */
    @Example
    void snapshotFromBeforeAPauseIsNotConfirmed() {
        startThreeNodes();
        FleetService service = services.get(0);
        AtomicInteger losses = new AtomicInteger();
        service.addListener(new FleetListener() {
            @Override
            public void onConfirmationLost() {
                losses.incrementAndGet();
            }
        });
        FleetSnapshot before = service.snapshot();
        clockOffsetMillis.addAndGet(60_000);
        if (before.isConfirmed(service.nowMillis())
                || before.assignDuty(Duty.CLAIMS_PARTITION, "p", List.of(), service.nowMillis())
                        .mine()) {
            throw new AssertionError("snapshot from before the pause is confirmed");
        }
        await(() -> losses.get() == 1);
        await(() -> service.snapshot().isConfirmed(service.nowMillis()));
    }

    private void startThreeNodes() {
        List<NodeAddress> nodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            nodes.add(new NodeAddress(new VmId("vm-" + i), DATA_CENTRE, "10.0.0." + i + ":7400", 8080));
        }
        LongSupplier monotonic = FleetService.monotonicClock();
        for (NodeAddress node : nodes) {
            PeerTransport transport = network.createTransport(
                    new PeerIdentity(node.vm(), node.dataCentre(), node.address(), node.callerPort()));
            FleetSettings settings =
                    new FleetSettings(node, nodes, MembershipSettings.SMALL_FLEET, 20, 1_000, node.hashCode());
            FleetService service = new FleetService(
                    settings,
                    transport,
                    () -> Mono.error(new IllegalStateException("VM list is unavailable")),
                    () -> monotonic.getAsLong() + clockOffsetMillis.get());
            services.add(service);
            transport.start().block();
            service.start().block();
        }
        await(() -> services.stream().allMatch(each -> each.snapshot().isConfirmed(each.nowMillis())));
    }

    /** Polls until the condition holds; the limit of 30 seconds only ends a test that would hang. */
    private static void await(BooleanSupplier condition) {
        for (int i = 0; i < 1_500; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            try {
                TimeUnit.MILLISECONDS.sleep(20);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        throw new AssertionError("condition not met within 30 seconds");
    }
}
