package org.cowslipbank.bench.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.AnswerAudit;
import org.cowslipbank.bench.virtual.DeploymentOptions;
import org.cowslipbank.bench.virtual.LinkFaults;
import org.cowslipbank.bench.virtual.SimController;
import org.cowslipbank.bench.virtual.SimEngine;
import org.cowslipbank.bench.virtual.SimRequest;
import org.cowslipbank.bench.virtual.SimulatedDeployment;
import org.cowslipbank.decision.rollout.EngineTarget;
import org.cowslipbank.decision.rollout.RolloutLimits;
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
        DeploymentOptions today = DeploymentOptions.defaults(seed);
        DeploymentOptions options = new DeploymentOptions(
                seed, today.nodes(), today.engines(), 3, 16, 2_000, false, 33, 4_000, true, LinkFaults.NONE, false);
        SimulatedDeployment deployment = new SimulatedDeployment(options);
        crashPeriodically(deployment, false);
        return run("death_before_first_token", deployment, 2, 8, UnaryOperator.identity());
    }

    static ScenarioOutcome deathAfterFirstToken(long seed) {
        SimulatedDeployment deployment = new SimulatedDeployment(DeploymentOptions.defaults(seed));
        crashPeriodically(deployment, false);
        return run("death_after_first_token", deployment, 60, 150, UnaryOperator.identity());
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
        SimulatedDeployment deployment = new SimulatedDeployment(DeploymentOptions.defaults(seed));
        crashPeriodically(deployment, true);
        return run("silent_death", deployment, 20, 150, UnaryOperator.identity());
    }

    static ScenarioOutcome slowReader(long seed) {
        SimulatedDeployment deployment = new SimulatedDeployment(DeploymentOptions.defaults(seed));
        UnaryOperator<SimRequest> makeSlowReader =
                request -> request.id().value().endsWith("0")
                        ? new SimRequest(
                                request.id(),
                                request.team(),
                                request.fingerprint(),
                                1_500,
                                true,
                                SimRequest.NEVER_CRASHES,
                                60,
                                SimRequest.NEVER_LEAVES,
                                0)
                        : request;
        return run("slow_reader", deployment, 20, 150, makeSlowReader);
    }

    static ScenarioOutcome callerGone(long seed) {
        SimulatedDeployment deployment = new SimulatedDeployment(
                DeploymentOptions.defaults(seed).withFaults(new LinkFaults(0, 0, 0, 0, 0.001, 0.001)));
        UnaryOperator<SimRequest> makeDisconnecting =
                request -> request.id().value().endsWith("1")
                        ? new SimRequest(
                                request.id(),
                                request.team(),
                                request.fingerprint(),
                                100_000,
                                true,
                                SimRequest.NEVER_CRASHES,
                                0,
                                1 + deployment.random().nextInt(20),
                                0)
                        : request;
        ScenarioOutcome outcome = run("caller_gone", deployment, 20, 150, makeDisconnecting);
        Figure orphans = Figure.atMost("caller_gone_orphan_runs", deployment.orphanRuns(), 0);
        return new ScenarioOutcome(outcome.name(), outcome.audit(), List.of(orphans));
    }

    static ScenarioOutcome weightSwap(String name, long seed, boolean aborts, long drainMillis) {
        DeploymentOptions options =
                new DeploymentOptions(seed, 3, 12, 3, 16, 150, false, 33, 4_000, aborts, LinkFaults.NONE, false);
        SimulatedDeployment deployment = new SimulatedDeployment(options);
        ModelRef nextModel = new ModelRef("review", "v2", "");
        RolloutLimits limits = new RolloutLimits(2, 2e9, 4e9, 10_000, 2_000, 3_000, drainMillis, 0.5);
        SimController.LoadSlots slots = new SimController.LoadSlots();
        List<SimController> controllers = new ArrayList<>();
        for (int group = 0; group < 2; group++) {
            controllers.add(new SimController(deployment, limits, slots));
        }
        deployment.clock().after(FIRST_FAULT_MILLIS, () -> {
            deployment.setActiveModel(nextModel);
            for (int group = 0; group < controllers.size(); group++) {
                controllers.get(group).setTargets(targets(deployment, group, controllers.size(), nextModel));
            }
        });
        ScenarioOutcome outcome = run(name, deployment, 20, 150, UnaryOperator.identity());
        long swappedEngines = deployment.engines().stream()
                .filter(engine -> engine.loaded().equals(nextModel))
                .count();
        return new ScenarioOutcome(
                name,
                outcome.audit(),
                List.of(
                        Figure.atMost(name + "_loads_per_data_centre", deployment.maxConcurrentLoads(), 2),
                        Figure.atLeast(
                                name + "_engines_swapped_share",
                                (double) swappedEngines / deployment.engines().size(),
                                1)));
    }

    static ScenarioOutcome everything(long seed) {
        SimulatedDeployment deployment = new SimulatedDeployment(DeploymentOptions.defaults(seed)
                .withFaults(new LinkFaults(0.0005, 0.001, 0.001, 0.001, 0.001, 0.0005)));
        crashPeriodically(deployment, false);
        UnaryOperator<SimRequest> makeSlowAndDisconnecting =
                request -> request.id().value().endsWith("1")
                        ? new SimRequest(
                                request.id(),
                                request.team(),
                                request.fingerprint(),
                                request.tokens(),
                                true,
                                SimRequest.NEVER_CRASHES,
                                40,
                                1 + deployment.random().nextInt(request.tokens()),
                                0)
                        : request;
        return run("everything", deployment, 20, 150, makeSlowAndDisconnecting);
    }

    static List<EngineTarget> targets(SimulatedDeployment deployment, int group, int groups, ModelRef model) {
        List<EngineTarget> targets = new ArrayList<>();
        for (int number = group; number < deployment.engines().size(); number += groups) {
            SimEngine engine = deployment.engines().get(number);
            DataCentreId dataCentre = new DataCentreId("dc" + number % 3);
            targets.add(new EngineTarget(engine.id(), dataCentre, model, WEIGHT_BYTES, false));
        }
        return targets;
    }

    private static ScenarioOutcome withFaults(String name, long seed, LinkFaults faults) {
        SimulatedDeployment deployment =
                new SimulatedDeployment(DeploymentOptions.defaults(seed).withFaults(faults));
        return run(name, deployment, 20, 150, UnaryOperator.identity());
    }

    private static void crashPeriodically(SimulatedDeployment deployment, boolean silently) {
        for (long atMillis = FIRST_FAULT_MILLIS; atMillis < ARRIVALS_MILLIS; atMillis += FAULT_PERIOD_MILLIS) {
            deployment.clock().after(atMillis, () -> {
                int victim = deployment.random().nextInt(deployment.engines().size());
                deployment.engines().get(victim).crash(silently);
            });
        }
    }

    private static ScenarioOutcome run(
            String name,
            SimulatedDeployment deployment,
            int minTokens,
            int maxTokens,
            UnaryOperator<SimRequest> customize) {
        Arrivals arrivals = new Arrivals(deployment, 3, REQUESTS_PER_SECOND, minTokens, maxTokens, customize);
        arrivals.scheduleUntil(ARRIVALS_MILLIS);
        deployment.clock().runUntil(ARRIVALS_MILLIS + DRAIN_MILLIS);
        return new ScenarioOutcome(name, AnswerAudit.of(deployment.callers()), List.of());
    }
}
