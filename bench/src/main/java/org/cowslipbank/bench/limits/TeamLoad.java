package org.cowslipbank.bench.limits;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.bench.virtual.SimCaller;
import org.cowslipbank.bench.virtual.SimRequest;
import org.cowslipbank.bench.virtual.SimulatedDeployment;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.TeamId;

/** Submits the requests of one team as a Poisson process. */
final class TeamLoad {
    /** Longest time to the first token that callers accept. */
    static final long MAX_FIRST_TOKEN_MILLIS = 3_000;

    static final int MIN_TOKENS = 20;
    static final int MAX_TOKENS = 100;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final SimulatedDeployment deployment;
    private final TeamId team;
    private final int nodes;
    private final double requestsPerSecond;
    private final boolean resend;
    private final List<SimCaller> callers = new ArrayList<>();
    private int nextNumber;

    /**
     * Creates a load.
     *
     * @param deployment the simulated system
     * @param team the team
     * @param nodes number of nodes to which the team sends, starting with the first
     * @param requestsPerSecond mean arrival rate
     * @param resend true if a refused caller sends once more after the retry time of the refusal
     */
    TeamLoad(SimulatedDeployment deployment, String team, int nodes, double requestsPerSecond, boolean resend) {
        this.deployment = deployment;
        this.team = new TeamId(team);
        this.nodes = nodes;
        this.requestsPerSecond = requestsPerSecond;
        this.resend = resend;
    }

    List<SimCaller> callers() {
        return callers;
    }

    TeamLoad scheduleUntil(long untilMillis) {
        double gapMillis = -Math.log(1 - deployment.random().nextDouble()) * MILLIS_PER_SECOND / requestsPerSecond;
        deployment.clock().after(Math.round(gapMillis), () -> {
            if (deployment.clock().nowMillis() <= untilMillis) {
                submit(resend);
                scheduleUntil(untilMillis);
            }
        });
        return this;
    }

    private void submit(boolean mayResend) {
        int number = nextNumber++;
        int tokens = MIN_TOKENS + deployment.random().nextInt(MAX_TOKENS - MIN_TOKENS + 1);
        SimRequest request = new SimRequest(
                new RequestId(team + "-" + number),
                team,
                team.hashCode() * 1_000_003L + number,
                tokens,
                true,
                SimRequest.NEVER_CRASHES,
                0,
                SimRequest.NEVER_LEAVES,
                MAX_FIRST_TOKEN_MILLIS);
        SimCaller caller = deployment.submit(deployment.random().nextInt(nodes), request);
        callers.add(caller);
        if (mayResend && caller.refusal() != null) {
            deployment.clock().after(caller.refusal().retryAfterMillis(), () -> submit(false));
        }
    }
}
