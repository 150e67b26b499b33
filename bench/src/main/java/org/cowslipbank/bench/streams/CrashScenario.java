package org.cowslipbank.bench.streams;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.Audit;
import org.cowslipbank.bench.virtual.LinkFaults;
import org.cowslipbank.bench.virtual.SimCaller;
import org.cowslipbank.bench.virtual.SimRequest;
import org.cowslipbank.bench.virtual.World;
import org.cowslipbank.bench.virtual.WorldOptions;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/** A request that crashes its engine, sent to several nodes at once and sent again after each error. */
final class CrashScenario {
    private static final int NODES = 5;
    private static final int ENGINES = 8;
    private static final int COPIES = 10;

    /** All copies are sent before the first one has reached the token at which it crashes its engine. */
    private static final long COPY_GAP_MILLIS = 14;

    private static final int RESENDS = 40;
    private static final long RESEND_MILLIS = 200;
    /** The guards stay. */
    static final long NEVER = -1;

    private static final long CRASH_MILLIS = 20_000;
    private static final long ARRIVALS_MILLIS = 60_000;
    private static final long END_MILLIS = 300_000;
    private static final double REQUESTS_PER_SECOND = 14;
    private static final long KILLER_FINGERPRINT = -1;

    private final World world;
    private final int crashAtToken;
    private final List<SimCaller> copies = new ArrayList<>();
    private int sent;

    private CrashScenario(long seed, int crashAtToken) {
        this.world = new World(
                new WorldOptions(seed, NODES, ENGINES, 3, 16, 150, false, 33, 3_000, true, LinkFaults.NONE, false));
        this.crashAtToken = crashAtToken;
    }

    static Outcome run(String name, long seed, int crashAtToken, long guardsChangeMillis) {
        CrashScenario scenario = new CrashScenario(seed, crashAtToken);
        if (guardsChangeMillis >= 0) {
            scenario.world.clock().after(CRASH_MILLIS + guardsChangeMillis, scenario.world::changeGuards);
        }
        return scenario.run(name);
    }

    private Outcome run(String name) {
        new Arrivals(world, NODES, REQUESTS_PER_SECOND, 20, 150, UnaryOperator.identity()).until(ARRIVALS_MILLIS);
        for (int copy = 0; copy < COPIES; copy++) {
            int node = copy % NODES;
            world.clock().after(CRASH_MILLIS + copy * COPY_GAP_MILLIS, () -> send(node));
        }
        world.clock().runUntil(END_MILLIS);
        List<SimCaller> harmless = new ArrayList<>(world.callers());
        harmless.removeAll(copies);
        Audit all = Audit.of(world.callers());
        Audit others = Audit.of(harmless);
        double longestMillis = harmless.stream()
                .mapToLong(caller -> caller.endedMillis() - caller.sentMillis())
                .max()
                .orElse(0);
        return new Outcome(
                name,
                all,
                List.of(
                        Figure.atMost(name + "_crashed_upstreams", world.crashedByRequest(), 2),
                        Figure.atMost(name + "_harmless_not_whole", others.requests() - others.whole(), 0),
                        Figure.info(name + "_copies_sent", sent),
                        Figure.info(name + "_longest_harmless_answer_ms", longestMillis)));
    }

    private void send(int node) {
        RequestId id = new RequestId("killer" + sent++);
        SimRequest request = new SimRequest(
                id, new TeamId("t0"), KILLER_FINGERPRINT, 100, true, crashAtToken, 0, SimRequest.STAYS, 0);
        SimCaller caller = world.submit(node, request);
        copies.add(caller);
        // A refusal by admission can come before the action is set.
        Runnable again = () -> {
            if (sent < RESENDS) {
                world.clock().after(RESEND_MILLIS, () -> send((node + 1) % NODES));
            }
        };
        if (caller.endedMillis() >= 0) {
            again.run();
        } else {
            caller.onEnd(again);
        }
    }
}
