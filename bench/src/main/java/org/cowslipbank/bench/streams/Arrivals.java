package org.cowslipbank.bench.streams;

import java.util.function.UnaryOperator;

import org.cowslipbank.bench.virtual.SimRequest;
import org.cowslipbank.bench.virtual.SimulatedDeployment;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/** Submits requests as a Poisson process, with random answer lengths, to random nodes. */
final class Arrivals {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double STREAMING_SHARE = 0.7;

    private final SimulatedDeployment deployment;
    private final int nodes;
    private final double requestsPerSecond;
    private final int minTokens;
    private final int maxTokens;
    private final UnaryOperator<SimRequest> customize;
    private int nextNumber;

    Arrivals(
            SimulatedDeployment deployment,
            int nodes,
            double requestsPerSecond,
            int minTokens,
            int maxTokens,
            UnaryOperator<SimRequest> customize) {
        this.deployment = deployment;
        this.nodes = nodes;
        this.requestsPerSecond = requestsPerSecond;
        this.minTokens = minTokens;
        this.maxTokens = maxTokens;
        this.customize = customize;
    }

    void scheduleUntil(long untilMillis) {
        double gapMillis = -Math.log(1 - deployment.random().nextDouble()) * MILLIS_PER_SECOND / requestsPerSecond;
        deployment.clock().after(Math.round(gapMillis), () -> {
            if (deployment.clock().nowMillis() <= untilMillis) {
                submit();
                scheduleUntil(untilMillis);
            }
        });
    }

    private void submit() {
        int number = nextNumber++;
        int tokens = minTokens + deployment.random().nextInt(maxTokens - minTokens + 1);
        SimRequest request = new SimRequest(
                new RequestId("r" + number),
                new TeamId("t" + number % 10),
                number,
                tokens,
                deployment.random().nextDouble() < STREAMING_SHARE,
                SimRequest.NEVER_CRASHES,
                0,
                SimRequest.NEVER_LEAVES,
                0);
        deployment.submit(deployment.random().nextInt(nodes), customize.apply(request));
    }
}
