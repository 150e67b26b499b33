package org.cowslipbank.bench.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.Audit;
import org.cowslipbank.bench.virtual.LinkFaults;
import org.cowslipbank.bench.virtual.SimController;
import org.cowslipbank.bench.virtual.SimEngine;
import org.cowslipbank.bench.virtual.SimRequest;
import org.cowslipbank.bench.virtual.World;
import org.cowslipbank.bench.virtual.WorldOptions;
import org.cowslipbank.decision.orders.OrderLimits;
import org.cowslipbank.decision.orders.OrderTarget;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;

/** Scenarios in which engines, links or callers fail. */
final class FaultScenarios {
    private static final long ARRIVALS_MILLIS = 90_000;

    /** Time after the last arrival within which every answer must end; the longest time limit of a stream is 120 s. */
    private static final long DRAIN_MILLIS = 240_000;

    /** Late enough that the window of the retry budget has filled. */
    private static final long FIRST_FAULT_MILLIS = 15_000;

    private static final long FAULT_PERIOD_MILLIS = 15_000;
    private static final double REQUESTS_PER_SECOND = 12;
    private static final double WEIGHT_BYTES = 1e9;

    private FaultScenarios() {}

    static ScenarioOutcome deathBeforeFirstToken(long seed) {
        WorldOptions today = WorldOptions.today(seed);
        WorldOptions options = new WorldOptions(
                seed, today.nodes(), today.engines(), 3, 16, 2_000, false, 33, 4_000, true, LinkFaults.NONE, false);
        World world = new World(options);
        crashPeriodically(world, false);
        return run("death_before_first_token", world, 2, 8, UnaryOperator.identity());
    }

    static ScenarioOutcome deathAfterFirstToken(long seed) {
        World world = new World(WorldOptions.today(seed));
        crashPeriodically(world, false);
        return run("death_after_first_token", world, 60, 150, UnaryOperator.identity());
    }

    static ScenarioOutcome lostConnections(long seed) {
        return withFaults("resume", seed, new LinkFaults(0, 0, 0, 0, 0.003, 0));
    }

    static ScenarioOutcome lateAndMisdelivered(long seed) {
        return withFaults("late_misdelivered", seed, new LinkFaults(0.001, 0.003, 0.003, 0.01, 0, 0));
    }

    static ScenarioOutcome silentConnections(long seed) {
        return withFaults("silent", seed, new LinkFaults(0, 0, 0, 0, 0, 0.002));
    }

    static ScenarioOutcome silentDeath(long seed) {
        World world = new World(WorldOptions.today(seed));
        crashPeriodically(world, true);
        return run("silent_death", world, 20, 150, UnaryOperator.identity());
    }

    static ScenarioOutcome slowReader(long seed) {
        World world = new World(WorldOptions.today(seed));
        UnaryOperator<SimRequest> makeSlowReader =
                request -> request.id().value().endsWith("0")
                        ? new SimRequest(
                                request.id(),
                                request.team(),
                                request.fingerprint(),
                                1_500,
                                true,
                                SimRequest.HARMLESS,
                                60,
                                SimRequest.STAYS,
                                0)
                        : request;
        return run("slow_reader", world, 20, 150, makeSlowReader);
    }

    static ScenarioOutcome callerGone(long seed) {
        World world = new World(WorldOptions.today(seed).with(new LinkFaults(0, 0, 0, 0, 0.001, 0.001)));
        UnaryOperator<SimRequest> makeDisconnecting =
                request -> request.id().value().endsWith("1")
                        ? new SimRequest(
                                request.id(),
                                request.team(),
                                request.fingerprint(),
                                100_000,
                                true,
                                SimRequest.HARMLESS,
                                0,
                                1 + world.random().nextInt(20),
                                0)
                        : request;
        ScenarioOutcome outcome = run("caller_gone", world, 20, 150, makeDisconnecting);
        Figure orphans = Figure.atMost("caller_gone_orphan_runs", world.orphanRuns(), 0);
        return new ScenarioOutcome(outcome.name(), outcome.audit(), List.of(orphans));
    }

    static ScenarioOutcome weightSwap(String name, long seed, boolean aborts, long drainMillis) {
        WorldOptions options =
                new WorldOptions(seed, 3, 12, 3, 16, 150, false, 33, 4_000, aborts, LinkFaults.NONE, false);
        World world = new World(options);
        ModelRef nextModel = new ModelRef("review", "v2", "");
        OrderLimits limits = new OrderLimits(2, 2e9, 4e9, 10_000, 2_000, 3_000, drainMillis, 0.5);
        SimController.Slots slots = new SimController.Slots();
        List<SimController> controllers = new ArrayList<>();
        for (int group = 0; group < 2; group++) {
            controllers.add(new SimController(world, limits, slots));
        }
        world.clock().after(FIRST_FAULT_MILLIS, () -> {
            world.activate(nextModel);
            for (int group = 0; group < controllers.size(); group++) {
                controllers.get(group).targets(targets(world, group, controllers.size(), nextModel));
            }
        });
        ScenarioOutcome outcome = run(name, world, 20, 150, UnaryOperator.identity());
        long swappedEngines = world.engines().stream()
                .filter(engine -> engine.loaded().equals(nextModel))
                .count();
        return new ScenarioOutcome(
                name,
                outcome.audit(),
                List.of(
                        Figure.atMost(name + "_loads_per_data_centre", world.mostLoads(), 2),
                        Figure.atLeast(
                                name + "_engines_swapped_share",
                                (double) swappedEngines / world.engines().size(),
                                1)));
    }

    static ScenarioOutcome everything(long seed) {
        World world =
                new World(WorldOptions.today(seed).with(new LinkFaults(0.0005, 0.001, 0.001, 0.001, 0.001, 0.0005)));
        crashPeriodically(world, false);
        UnaryOperator<SimRequest> makeSlowAndDisconnecting =
                request -> request.id().value().endsWith("1")
                        ? new SimRequest(
                                request.id(),
                                request.team(),
                                request.fingerprint(),
                                request.tokens(),
                                true,
                                SimRequest.HARMLESS,
                                40,
                                1 + world.random().nextInt(request.tokens()),
                                0)
                        : request;
        return run("everything", world, 20, 150, makeSlowAndDisconnecting);
    }

    static List<OrderTarget> targets(World world, int group, int groups, ModelRef model) {
        List<OrderTarget> targets = new ArrayList<>();
        for (int number = group; number < world.engines().size(); number += groups) {
            SimEngine engine = world.engines().get(number);
            DataCentreId dataCentre = new DataCentreId("dc" + number % 3);
            targets.add(new OrderTarget(engine.id(), dataCentre, model, WEIGHT_BYTES, false));
        }
        return targets;
    }

    private static ScenarioOutcome withFaults(String name, long seed, LinkFaults faults) {
        World world = new World(WorldOptions.today(seed).with(faults));
        return run(name, world, 20, 150, UnaryOperator.identity());
    }

    private static void crashPeriodically(World world, boolean silently) {
        for (long atMillis = FIRST_FAULT_MILLIS; atMillis < ARRIVALS_MILLIS; atMillis += FAULT_PERIOD_MILLIS) {
            world.clock().after(atMillis, () -> {
                int victim = world.random().nextInt(world.engines().size());
                world.engines().get(victim).crash(silently);
            });
        }
    }

    private static ScenarioOutcome run(
            String name, World world, int minTokens, int maxTokens, UnaryOperator<SimRequest> customize) {
        Arrivals arrivals = new Arrivals(world, 3, REQUESTS_PER_SECOND, minTokens, maxTokens, customize);
        arrivals.scheduleUntil(ARRIVALS_MILLIS);
        world.clock().runUntil(ARRIVALS_MILLIS + DRAIN_MILLIS);
        return new ScenarioOutcome(name, Audit.of(world.callers()), List.of());
    }
}
