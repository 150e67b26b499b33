package org.cowslipbank.bench.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.cowslipbank.model.VmId;

/** Samples the view of every node over time and counts changes from alive to dead and back. */
final class FlapCounter {
    private static final long SAMPLE_PERIOD_MILLIS = 100;

    private final FleetSimulation fleet;
    private final Map<FleetSimulation.Node, Set<VmId>> deadByObserver = new HashMap<>();
    private final Map<FleetSimulation.Node, Map<VmId, Integer>> deaths = new HashMap<>();
    private int revivals;
    private int maxUnreachable;

    FlapCounter(FleetSimulation fleet) {
        this.fleet = fleet;
        fleet.nodes().forEach(node -> deadByObserver.put(node, node.view().deadNodes()));
    }

    void runFor(long millis) {
        long endMillis = fleet.nowMillis() + millis;
        while (fleet.nowMillis() < endMillis) {
            fleet.runFor(Math.min(SAMPLE_PERIOD_MILLIS, endMillis - fleet.nowMillis()));
            fleet.running().forEach(this::recordChanges);
        }
    }

    private void recordChanges(FleetSimulation.Node node) {
        maxUnreachable = Math.max(maxUnreachable, node.view().unreachable().size());
        Set<VmId> before = deadByObserver.get(node);
        Set<VmId> after = node.view().deadNodes();
        if (before == after) {
            return;
        }
        Set<VmId> died = new HashSet<>(after);
        died.removeAll(before);
        Map<VmId, Integer> counts = deaths.computeIfAbsent(node, key -> new HashMap<>());
        died.forEach(vm -> counts.merge(vm, 1, Integer::sum));
        before.stream().filter(vm -> !after.contains(vm)).forEach(vm -> revivals++);
        deadByObserver.put(node, after);
    }

    /** Returns how often any node changed its view of another node from alive to dead. */
    int deaths() {
        return countDeaths(observer -> true, subject -> true);
    }

    /** Returns the same count for the chosen observers and subjects only. */
    int countDeaths(Predicate<FleetSimulation.Node> observer, Predicate<FleetSimulation.Node> subject) {
        Set<VmId> subjects = new HashSet<>();
        fleet.nodes().stream()
                .filter(subject)
                .forEach(node -> subjects.add(node.address().vm()));
        return deaths.entrySet().stream()
                .filter(entry -> observer.test(entry.getKey()))
                .flatMap(entry -> entry.getValue().entrySet().stream())
                .filter(entry -> subjects.contains(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Returns how often any node changed its view of another node from dead to alive. */
    int revivals() {
        return revivals;
    }

    /** Returns the largest number of data centres that one node considered unreachable at the same time. */
    int maxUnreachable() {
        return maxUnreachable;
    }
}
