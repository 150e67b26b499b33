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
import org.cowslipbank.bench.virtual.SimulatedDeployment;
import org.cowslipbank.decision.rollout.EngineTarget;
import org.cowslipbank.decision.rollout.RolloutLimits;
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
        SimulatedDeployment full = deployment(seed, false);
        SimulatedDeployment halved = deployment(seed, true);
        long retired = halved.engines().stream().filter(SimEngine::draining).count();
        double ratio = firstTokenP95Millis(halved) / firstTokenP95Millis(full);
        return new ScenarioOutcome(
                "halving",
                AnswerAudit.of(halved.callers()).plus(AnswerAudit.of(full.callers())),
                List.of(
                        Figure.atMost("halving_first_token_p95_ratio", ratio, 1.2),
                        Figure.atMost("halving_interrupted_runs", halved.interruptedRuns(), 0),
                        Figure.atLeast("halving_retired_share", (double) retired / ENGINES, 0.5)));
    }

    private static SimulatedDeployment deployment(long seed, boolean halve) {
        SimulatedDeployment deployment = new SimulatedDeployment(
                new DeploymentOptions(seed, NODES, ENGINES, 3, 16, 160, true, 33, 4_000, true, LinkFaults.NONE, false));
        new Arrivals(deployment, NODES, REQUESTS_PER_SECOND, 20, 150, UnaryOperator.identity())
                .scheduleUntil(ARRIVALS_MILLIS);
        if (halve) {
            RolloutLimits limits = new RolloutLimits(2, 2e9, 4e9, 10_000, 2_000, 3_000, 20_000, 0.25);
            SimController controller = new SimController(deployment, limits, new SimController.LoadSlots());
            deployment.clock().after(HALVE_MILLIS, () -> controller.setTargets(targets(deployment)));
        }
        deployment.clock().runUntil(END_MILLIS);
        return deployment;
    }

    private static List<EngineTarget> targets(SimulatedDeployment deployment) {
        List<EngineTarget> targets = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            boolean retire = number % 2 == 0;
            targets.add(new EngineTarget(
                    deployment.engines().get(number).id(),
                    new DataCentreId("dc" + number % 3),
                    deployment.activeModel(),
                    1e9,
                    retire));
        }
        return targets;
    }

    private static double firstTokenP95Millis(SimulatedDeployment deployment) {
        long[] sorted = deployment.callers().stream()
                .filter(caller -> caller.request().streaming() && caller.sentMillis() >= HALVE_MILLIS)
                .mapToLong(caller -> caller.timeToFirstTokenMillis())
                .sorted()
                .toArray();
        return sorted[(int) (sorted.length * 0.95)];
    }
}
