package org.cowslipbank.bench.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.AnswerAudit;
import org.cowslipbank.bench.virtual.DeploymentOptions;
import org.cowslipbank.bench.virtual.LinkFaults;
import org.cowslipbank.bench.virtual.SimCaller;
import org.cowslipbank.bench.virtual.SimRequest;
import org.cowslipbank.bench.virtual.SimulatedDeployment;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/** A request that crashes its engine is submitted to several nodes at once and submitted again after each error. */
final class CrashScenario {
    private static final int NODES = 5;
    private static final int ENGINES = 8;
    private static final int COPIES = 10;

    /** Short enough that all copies are submitted before the first one reaches the token that crashes its engine. */
    private static final long COPY_GAP_MILLIS = 14;

    private static final int MAX_SENDS = 40;
    private static final long RESEND_DELAY_MILLIS = 200;
    /** Value of the change time if the guards do not change. */
    static final long GUARDS_UNCHANGED = -1;

    private static final long FIRST_COPY_MILLIS = 20_000;
    private static final long ARRIVALS_MILLIS = 60_000;
    private static final long END_MILLIS = 300_000;
    private static final double REQUESTS_PER_SECOND = 14;
    private static final long CRASHING_FINGERPRINT = -1;

    private final SimulatedDeployment deployment;
    private final int crashAtToken;
    private final List<SimCaller> copies = new ArrayList<>();
    private int sentCopies;

    private CrashScenario(long seed, int crashAtToken) {
        this.deployment = new SimulatedDeployment(new DeploymentOptions(
                seed, NODES, ENGINES, 3, 16, 150, false, 33, 3_000, true, LinkFaults.NONE, false));
        this.crashAtToken = crashAtToken;
    }

    static ScenarioOutcome run(String name, long seed, int crashAtToken, long guardsChangeMillis) {
        CrashScenario scenario = new CrashScenario(seed, crashAtToken);
        if (guardsChangeMillis >= 0) {
            scenario.deployment.clock().after(FIRST_COPY_MILLIS + guardsChangeMillis, scenario.deployment::resetGuards);
        }
        return scenario.run(name);
    }

    private ScenarioOutcome run(String name) {
        new Arrivals(deployment, NODES, REQUESTS_PER_SECOND, 20, 150, UnaryOperator.identity())
                .scheduleUntil(ARRIVALS_MILLIS);
        for (int copy = 0; copy < COPIES; copy++) {
            int node = copy % NODES;
            deployment.clock().after(FIRST_COPY_MILLIS + copy * COPY_GAP_MILLIS, () -> sendCopy(node));
        }
        deployment.clock().runUntil(END_MILLIS);
        List<SimCaller> harmless = new ArrayList<>(deployment.callers());
        harmless.removeAll(copies);
        AnswerAudit all = AnswerAudit.of(deployment.callers());
        AnswerAudit others = AnswerAudit.of(harmless);
        double longestMillis = harmless.stream()
                .mapToLong(caller -> caller.endedMillis() - caller.sentMillis())
                .max()
                .orElse(0);
        return new ScenarioOutcome(
                name,
                all,
                List.of(
                        Figure.atMost(name + "_crashed_upstreams", deployment.crashesByRequest(), 2),
                        Figure.atMost(name + "_harmless_not_whole", others.requests() - others.complete(), 0),
                        Figure.unbounded(name + "_copies_sent", sentCopies),
                        Figure.unbounded(name + "_longest_harmless_answer_ms", longestMillis)));
    }

    private void sendCopy(int node) {
        RequestId id = new RequestId("killer" + sentCopies++);
        SimRequest request = new SimRequest(
                id, new TeamId("t0"), CRASHING_FINGERPRINT, 100, true, crashAtToken, 0, SimRequest.NEVER_LEAVES, 0);
        SimCaller caller = deployment.submit(node, request);
        copies.add(caller);
        // Admission can refuse the request before the callback is registered.
        Runnable resend = () -> {
            if (sentCopies < MAX_SENDS) {
                deployment.clock().after(RESEND_DELAY_MILLIS, () -> sendCopy((node + 1) % NODES));
            }
        };
        if (caller.endedMillis() >= 0) {
            resend.run();
        } else {
            caller.onEnd(resend);
        }
    }
}
