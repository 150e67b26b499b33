package org.cowslipbank.bench.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.cowslipbank.model.VmId;

/** Watches every node's view while time passes and counts deaths and revivals. */
final class FlapCounter {
    private static final long STEP_MILLIS = 100;

    private final FleetSimulation fleet;
    private final Map<FleetSimulation.Node, Set<VmId>> dead = new HashMap<>();
    private final Map<FleetSimulation.Node, Map<VmId, Integer>> deaths = new HashMap<>();
    private int revivals;
    private int unreachable;

    FlapCounter(FleetSimulation fleet) {
        this.fleet = fleet;
        fleet.nodes().forEach(node -> dead.put(node, node.view().deadNodes()));
    }

    void runFor(long millis) {
        long endMillis = fleet.nowMillis() + millis;
        while (fleet.nowMillis() < endMillis) {
            fleet.runFor(Math.min(STEP_MILLIS, endMillis - fleet.nowMillis()));
            fleet.running().forEach(this::compare);
        }
    }

    private void compare(FleetSimulation.Node node) {
        unreachable = Math.max(unreachable, node.view().unreachable().size());
        Set<VmId> before = dead.get(node);
        Set<VmId> after = node.view().deadNodes();
        if (before == after) {
            return;
        }
        Set<VmId> died = new HashSet<>(after);
        died.removeAll(before);
        Map<VmId, Integer> counts = deaths.computeIfAbsent(node, key -> new HashMap<>());
        died.forEach(vm -> counts.merge(vm, 1, Integer::sum));
        before.stream().filter(vm -> !after.contains(vm)).forEach(vm -> revivals++);
        dead.put(node, after);
    }

    /** Number of times that any node held another one for dead anew. */
    int deaths() {
        return deathsSeenBy(observer -> true, subject -> true);
    }

    int deathsSeenBy(Predicate<FleetSimulation.Node> observer, Predicate<FleetSimulation.Node> subject) {
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

    /** Number of times that any node held a dead node for alive again. */
    int revivals() {
        return revivals;
    }

    /** Most data centres that one node held for unreachable at once. */
    int unreachable() {
        return unreachable;
    }
}
