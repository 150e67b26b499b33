package org.cowslipbank.bench.streams;

import java.util.function.UnaryOperator;

import org.cowslipbank.bench.virtual.SimRequest;
import org.cowslipbank.bench.virtual.World;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/** Submits requests as a Poisson process, with random answer lengths, to random nodes. */
final class Arrivals {
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double STREAMING_SHARE = 0.7;

    private final World world;
    private final int nodes;
    private final double requestsPerSecond;
    private final int minTokens;
    private final int maxTokens;
    private final UnaryOperator<SimRequest> customize;
    private int nextNumber;

    Arrivals(
            World world,
            int nodes,
            double requestsPerSecond,
            int minTokens,
            int maxTokens,
            UnaryOperator<SimRequest> customize) {
        this.world = world;
        this.nodes = nodes;
        this.requestsPerSecond = requestsPerSecond;
        this.minTokens = minTokens;
        this.maxTokens = maxTokens;
        this.customize = customize;
    }

    void scheduleUntil(long untilMillis) {
        double gapMillis = -Math.log(1 - world.random().nextDouble()) * MILLIS_PER_SECOND / requestsPerSecond;
        world.clock().after(Math.round(gapMillis), () -> {
            if (world.clock().nowMillis() <= untilMillis) {
                submit();
                scheduleUntil(untilMillis);
            }
        });
    }

    private void submit() {
        int number = nextNumber++;
        int tokens = minTokens + world.random().nextInt(maxTokens - minTokens + 1);
        SimRequest request = new SimRequest(
                new RequestId("r" + number),
                new TeamId("t" + number % 10),
                number,
                tokens,
                world.random().nextDouble() < STREAMING_SHARE,
                SimRequest.HARMLESS,
                0,
                SimRequest.STAYS,
                0);
        world.submit(world.random().nextInt(nodes), customize.apply(request));
    }
}
