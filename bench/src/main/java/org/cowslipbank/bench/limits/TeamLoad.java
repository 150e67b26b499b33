package org.cowslipbank.bench.limits;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.bench.virtual.SimCaller;
import org.cowslipbank.bench.virtual.SimRequest;
import org.cowslipbank.bench.virtual.World;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/** Requests of one team that arrive at random times. */
final class TeamLoad {
    /** Longest wait for the first token that callers accept, in milliseconds. */
    static final long PATIENCE_MILLIS = 3_000;

    static final int MIN_TOKENS = 20;
    static final int MAX_TOKENS = 100;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final World world;
    private final TeamId team;
    private final int nodes;
    private final double perSecond;
    private final boolean resend;
    private final List<SimCaller> callers = new ArrayList<>();
    private int count;

    /**
     * Creates a load.
     *
     * @param world the world
     * @param team the team
     * @param nodes nodes to which the team sends, from the first one
     * @param perSecond requests a second
     * @param resend true if a refused caller sends again once, at the time that it was told
     */
    TeamLoad(World world, String team, int nodes, double perSecond, boolean resend) {
        this.world = world;
        this.team = new TeamId(team);
        this.nodes = nodes;
        this.perSecond = perSecond;
        this.resend = resend;
    }

    List<SimCaller> callers() {
        return callers;
    }

    TeamLoad until(long untilMillis) {
        double gapMillis = -Math.log(1 - world.random().nextDouble()) * MILLIS_PER_SECOND / perSecond;
        world.clock().after(Math.round(gapMillis), () -> {
            if (world.clock().nowMillis() <= untilMillis) {
                submit(resend);
                until(untilMillis);
            }
        });
        return this;
    }

    private void submit(boolean mayResend) {
        int number = count++;
        int tokens = MIN_TOKENS + world.random().nextInt(MAX_TOKENS - MIN_TOKENS + 1);
        SimRequest request = new SimRequest(
                new RequestId(team + "-" + number),
                team,
                team.hashCode() * 1_000_003L + number,
                tokens,
                true,
                SimRequest.HARMLESS,
                0,
                SimRequest.STAYS,
                PATIENCE_MILLIS);
        SimCaller caller = world.submit(world.random().nextInt(nodes), request);
        callers.add(caller);
        if (mayResend && caller.refusal() != null) {
            world.clock().after(caller.refusal().retryAfterMillis(), () -> submit(false));
        }
    }
}
