package org.cowslipbank.bench.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.decision.entries.Duty;
import org.cowslipbank.decision.entries.DutyAssignment;
import org.cowslipbank.decision.entries.DutyQuery;
import org.cowslipbank.decision.membership.FleetEvent;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.LoadFact;

/** Makes the watcher of each upstream publish a load fact at a fixed period. */
final class LoadTraffic {
    private final FleetSimulation fleet;
    private final long periodMillis;
    private final List<WatchedUpstream> upstreams = new ArrayList<>();
    private boolean stopped;

    /**
     * Schedules the first load fact of each upstream.
     *
     * @param fleet the fleet
     * @param count number of upstreams, spread over the data centres
     * @param periodMillis time between two load facts of one upstream
     */
    LoadTraffic(FleetSimulation fleet, int count, long periodMillis) {
        this.fleet = fleet;
        this.periodMillis = periodMillis;
        List<DataCentreId> dataCentres = fleet.nodes().stream()
                .map(node -> node.address().dataCentre())
                .distinct()
                .toList();
        for (int i = 0; i < count; i++) {
            DataCentreId dataCentre = dataCentres.get(i % dataCentres.size());
            WatchedUpstream watched = new WatchedUpstream(new UpstreamId(dataCentre + "-engine-" + i), dataCentre);
            upstreams.add(watched);
            fleet.at(fleet.nowMillis() + fleet.random((int) periodMillis), () -> publish(watched));
        }
    }

    List<WatchedUpstream> upstreams() {
        return upstreams;
    }

    void stop() {
        stopped = true;
    }

    private void publish(WatchedUpstream watched) {
        if (stopped) {
            return;
        }
        fleet.running().stream()
                .filter(node -> node.address().dataCentre().equals(watched.dataCentre()))
                .findFirst()
                .flatMap(node -> findWatcher(node, watched))
                .ifPresent(node -> node.step(new FleetEvent.Published(loadFacts(watched))));
        fleet.at(fleet.nowMillis() + periodMillis, () -> publish(watched));
    }

    /** Returns the watcher according to one node; asking every node would dominate the run time. */
    private Optional<FleetSimulation.Node> findWatcher(FleetSimulation.Node observer, WatchedUpstream watched) {
        return DutyAssignment.assign(new DutyQuery(
                        Duty.WATCH_UPSTREAM,
                        watched.upstream().value(),
                        List.of(watched.dataCentre()),
                        observer.view().nodes(),
                        observer.address().vm(),
                        observer.isConfirmed()))
                .owner()
                .map(owner -> fleet.find(owner.vm()))
                .filter(FleetSimulation.Node::isRunning);
    }

    private GossipPayload loadFacts(WatchedUpstream watched) {
        LoadFact fact = new LoadFact(
                watched.upstream(),
                fleet.nowMillis(),
                fleet.random(64),
                fleet.random(64),
                fleet.random(200_000),
                12_000,
                64,
                false,
                0);
        return new GossipPayload(List.of(), List.of(), List.of(), List.of(), List.of(fact));
    }

    /**
     * An upstream whose load is published.
     *
     * @param upstream the upstream
     * @param dataCentre its data centre
     */
    record WatchedUpstream(UpstreamId upstream, DataCentreId dataCentre) {}
}
