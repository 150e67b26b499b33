package org.cowslipbank.bench.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.Audit;
import org.cowslipbank.bench.virtual.LinkFaults;
import org.cowslipbank.bench.virtual.SimController;
import org.cowslipbank.bench.virtual.SimEngine;
import org.cowslipbank.bench.virtual.World;
import org.cowslipbank.bench.virtual.WorldOptions;
import org.cowslipbank.decision.orders.OrderLimits;
import org.cowslipbank.decision.orders.OrderTarget;
import org.cowslipbank.model.DataCentreId;

/** Half of the engines retire under a load that the other half can carry. */
final class HalvingScenario {
    private static final int NODES = 3;
    private static final int ENGINES = 8;
    private static final long HALVE_MILLIS = 30_000;
    private static final long ARRIVALS_MILLIS = 180_000;
    private static final long END_MILLIS = 240_000;

    /** A tenth of the prefill capacity of all engines, a fifth of that of half of them. */
    private static final double REQUESTS_PER_SECOND = 5;

    private HalvingScenario() {}

    static ScenarioOutcome run(long seed) {
        World full = world(seed, false);
        World halved = world(seed, true);
        long retired = halved.engines().stream().filter(SimEngine::draining).count();
        double ratio = firstTokenP95Millis(halved) / firstTokenP95Millis(full);
        return new ScenarioOutcome(
                "halving",
                Audit.of(halved.callers()).plus(Audit.of(full.callers())),
                List.of(
                        Figure.atMost("halving_first_token_p95_ratio", ratio, 1.2),
                        Figure.atMost("halving_interrupted_runs", halved.interrupted(), 0),
                        Figure.atLeast("halving_retired_share", (double) retired / ENGINES, 0.5)));
    }

    private static World world(long seed, boolean halve) {
        World world = new World(
                new WorldOptions(seed, NODES, ENGINES, 3, 16, 160, true, 33, 4_000, true, LinkFaults.NONE, false));
        new Arrivals(world, NODES, REQUESTS_PER_SECOND, 20, 150, UnaryOperator.identity())
                .scheduleUntil(ARRIVALS_MILLIS);
        if (halve) {
            OrderLimits limits = new OrderLimits(2, 2e9, 4e9, 10_000, 2_000, 3_000, 20_000, 0.25);
            SimController controller = new SimController(world, limits, new SimController.Slots());
            world.clock().after(HALVE_MILLIS, () -> controller.targets(targets(world)));
        }
        world.clock().runUntil(END_MILLIS);
        return world;
    }

    private static List<OrderTarget> targets(World world) {
        List<OrderTarget> targets = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            boolean retire = number % 2 == 0;
            targets.add(new OrderTarget(
                    world.engines().get(number).id(),
                    new DataCentreId("dc" + number % 3),
                    world.activeModel(),
                    1e9,
                    retire));
        }
        return targets;
    }

    private static double firstTokenP95Millis(World world) {
        long[] sorted = world.callers().stream()
                .filter(caller -> caller.request().streaming() && caller.sentMillis() >= HALVE_MILLIS)
                .mapToLong(caller -> caller.timeToFirstTokenMillis())
                .sorted()
                .toArray();
        return sorted[(int) (sorted.length * 0.95)];
    }
}
