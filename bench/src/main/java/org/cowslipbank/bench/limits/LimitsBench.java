package org.cowslipbank.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.AnswerAudit;
import org.cowslipbank.bench.virtual.DeploymentOptions;
import org.cowslipbank.bench.virtual.LinkFaults;
import org.cowslipbank.bench.virtual.SimCaller;
import org.cowslipbank.bench.virtual.SimulatedDeployment;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.decision.admission.TeamShare;
import org.cowslipbank.decision.admission.TeamShares;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.TeamId;

/** Measures overload, isolation of teams, refusals and attempts (section 11 item 2 of the design page). */
public final class LimitsBench implements Bench {
    private static final int NODES = 3;
    private static final int ENGINES = 6;
    private static final int SLOTS = 16;
    private static final long PREFILL_MILLIS = 150;
    private static final long TOKEN_MILLIS = 33;
    private static final int TEAMS = 10;
    private static final int LARGE_TEAMS = 2;
    private static final double OVERLOAD_FACTOR = 1.5;

    /** Long enough for the queues to fill before anything is measured. */
    private static final long WARM_UP_MILLIS = 20_000;

    private static final long ARRIVALS_MILLIS = 120_000;
    private static final long END_MILLIS = 200_000;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double UNLIMITED = 1e6;

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        List<Figure> figures = new ArrayList<>();
        measureOverload("overload", options.seed(), false, 1, figures);
        measureOverload("overload_resending", options.seed(), true, 1, figures);
        measureOverload("overload_few_large", options.seed(), false, 8, figures);
        measureIsolation("isolation", options.seed(), 0.4, figures);
        measureIsolation("isolation_overcommitted", options.seed(), 1.2, figures);
        measureAttempts("third_aborting", options.seed(), figures, false);
        measureAttempts("third_dead", options.seed(), figures, true);
        measureLending(options.seed(), figures);
        figures.forEach(figure -> options.progress().accept(figure.toString()));
        return new BenchReport(name(), options.seed(), figures);
    }

    /** Returns the requests per second that the slots of all engines can complete. */
    private static double capacityPerSecond() {
        double meanTokens = (TeamLoad.MIN_TOKENS + TeamLoad.MAX_TOKENS) / 2.0;
        double meanRunMillis = PREFILL_MILLIS + (meanTokens - 1) * TOKEN_MILLIS;
        return ENGINES * SLOTS * MILLIS_PER_SECOND / meanRunMillis;
    }

    private static SimulatedDeployment deployment(long seed) {
        return new SimulatedDeployment(new DeploymentOptions(
                seed,
                NODES,
                ENGINES,
                3,
                SLOTS,
                PREFILL_MILLIS,
                false,
                TOKEN_MILLIS,
                4_000,
                true,
                LinkFaults.NONE,
                true));
    }

    private static void measureOverload(
            String name, long seed, boolean resend, double largeFactor, List<Figure> figures) {
        SimulatedDeployment deployment = deployment(seed);
        double parts = LARGE_TEAMS * largeFactor + TEAMS - LARGE_TEAMS;
        for (int team = 0; team < TEAMS; team++) {
            double part = (team < LARGE_TEAMS ? largeFactor : 1) / parts;
            new TeamLoad(deployment, "t" + team, NODES, OVERLOAD_FACTOR * part * capacityPerSecond(), resend)
                    .scheduleUntil(ARRIVALS_MILLIS);
        }
        deployment.clock().runUntil(END_MILLIS);
        long inTime = deployment.callers().stream()
                .filter(caller -> caller.hasCompleteAnswer()
                        && caller.timeToFirstTokenMillis() <= TeamLoad.MAX_FIRST_TOKEN_MILLIS)
                .filter(caller -> caller.endedMillis() >= WARM_UP_MILLIS && caller.endedMillis() < ARRIVALS_MILLIS)
                .count();
        double perSecond = inTime * MILLIS_PER_SECOND / (ARRIVALS_MILLIS - WARM_UP_MILLIS);
        figures.add(Figure.atLeast(name + "_goodput_share", perSecond / capacityPerSecond(), 0.95));
        addRefusalFigures(name, deployment, figures);
    }

    private static void addRefusalFigures(String name, SimulatedDeployment deployment, List<Figure> figures) {
        AnswerAudit audit = AnswerAudit.of(deployment.callers());
        List<SimCaller> refused = deployment.callers().stream()
                .filter(caller -> caller.refusal() != null)
                .toList();
        long late = refused.stream()
                .filter(caller -> caller.endedMillis() - caller.sentMillis() > TeamLoad.MAX_FIRST_TOKEN_MILLIS)
                .count();
        long atArrival = refused.stream()
                .filter(caller -> caller.endedMillis() == caller.sentMillis())
                .count();
        long withoutRetryTime = refused.stream()
                .filter(caller -> caller.refusal().runState() == RunState.NOT_RUN
                        && caller.refusal().retryAfterMillis() <= 0)
                .count();
        figures.add(Figure.atMost(name + "_late_refusals", late, 0));
        figures.add(Figure.atMost(name + "_refusals_without_retry_time", withoutRetryTime, 0));
        figures.add(Figure.atMost(name + "_falsely_reported", audit.wrongRunStates(), 0));
        figures.add(Figure.atMost(name + "_lost", audit.lost(), 0));
        figures.add(Figure.atMost(name + "_doubled", audit.duplicated(), 0));
        figures.add(Figure.unbounded(
                name + "_refused_at_arrival_share", refused.isEmpty() ? 1 : (double) atArrival / refused.size()));
        figures.add(Figure.unbounded(name + "_refused_share", (double) refused.size() / audit.requests()));
    }

    private static void measureIsolation(String name, long seed, double greedyShare, List<Figure> figures) {
        double modestPerSecond = 0.1 * capacityPerSecond();
        double greedyLimit = greedyShare * capacityPerSecond();
        List<SimCaller> alone = runModestTeam(deployment(seed), modestPerSecond, 0, greedyLimit);
        List<SimCaller> beside = runModestTeam(deployment(seed), modestPerSecond, 10 * greedyLimit, greedyLimit);
        double aloneMillis = firstTokenP95Millis(alone);
        double besideMillis = firstTokenP95Millis(beside);
        long refused =
                beside.stream().filter(caller -> caller.refusal() != null).count();
        figures.add(Figure.atMost(name + "_first_token_p95_ratio", besideMillis / aloneMillis, 1.2));
        figures.add(Figure.atMost(name + "_modest_refused", refused, 0));
        figures.add(Figure.unbounded(name + "_first_token_p95_ms", besideMillis));
    }

    private static List<SimCaller> runModestTeam(
            SimulatedDeployment deployment, double perSecond, double greedyPerSecond, double greedyLimit) {
        TeamId greedyTeam = new TeamId("greedy");
        deployment.setShares(
                team -> team.equals(greedyTeam) ? share(team, greedyLimit / NODES) : share(team, UNLIMITED));
        TeamLoad modest = new TeamLoad(deployment, "modest", NODES, perSecond, false).scheduleUntil(ARRIVALS_MILLIS);
        if (greedyPerSecond > 0) {
            new TeamLoad(deployment, greedyTeam.value(), NODES, greedyPerSecond, false).scheduleUntil(ARRIVALS_MILLIS);
        }
        deployment.clock().runUntil(END_MILLIS);
        return modest.callers();
    }

    private static TeamShare share(TeamId team, double perSecond) {
        return new TeamShare(team, perSecond, Math.max(1, perSecond), (int) UNLIMITED, 1);
    }

    private static double firstTokenP95Millis(List<SimCaller> callers) {
        long[] sorted = callers.stream()
                .filter(caller -> caller.sentMillis() >= WARM_UP_MILLIS && caller.timeToFirstTokenMillis() >= 0)
                .mapToLong(SimCaller::timeToFirstTokenMillis)
                .sorted()
                .toArray();
        return sorted[(int) (sorted.length * 0.95)];
    }

    private static void measureAttempts(String name, long seed, List<Figure> figures, boolean dead) {
        SimulatedDeployment deployment = deployment(seed);
        new TeamLoad(deployment, "t", NODES, 0.5 * capacityPerSecond(), false).scheduleUntil(ARRIVALS_MILLIS);
        for (int engine = 0; engine < ENGINES / 3; engine++) {
            int victim = engine;
            deployment.clock().after(WARM_UP_MILLIS, () -> {
                if (dead) {
                    deployment.engines().get(victim).retire();
                } else {
                    deployment.engines().get(victim).failEveryRun();
                }
            });
        }
        deployment.clock().runUntil(END_MILLIS);
        List<SimCaller> during = deployment.callers().stream()
                .filter(caller -> caller.sentMillis() >= WARM_UP_MILLIS)
                .toList();
        AnswerAudit audit = AnswerAudit.of(during);
        figures.add(Figure.atMost(name + "_attempts_per_request", mean(during, SimCaller::attempts), 1.1));
        figures.add(Figure.unbounded(name + "_whole_share", (double) audit.complete() / audit.requests()));
        figures.add(Figure.atMost(name + "_falsely_reported", audit.wrongRunStates(), 0));
        figures.add(Figure.atMost(name + "_lost", audit.lost(), 0));
    }

    private static double mean(List<SimCaller> callers, ToDoubleFunction<SimCaller> value) {
        return callers.stream().mapToDouble(value).average().orElse(0);
    }

    /** Sends all requests of a team within its limit to one of three nodes, without and with lending between nodes. */
    private static void measureLending(long seed, List<Figure> figures) {
        double limit = 0.3 * capacityPerSecond();
        TeamLimits limits = new TeamLimits(limit, (int) limit, (int) UNLIMITED, 1);
        TeamShares.Demand idle = new TeamShares.Demand(0, 1_000);
        for (boolean lends : new boolean[] {false, true}) {
            SimulatedDeployment deployment = deployment(seed);
            List<TeamShares.Demand> others = lends ? List.of(idle, idle) : List.of();
            deployment.setShares(
                    team -> TeamShares.derive(new TeamShares.Input(team, limits, NODES, 0.8 * limit, others)));
            TeamLoad load = new TeamLoad(deployment, "t", 1, 0.8 * limit, false).scheduleUntil(ARRIVALS_MILLIS);
            deployment.clock().runUntil(END_MILLIS);
            long refused = load.callers().stream()
                    .filter(caller -> caller.refusal() != null)
                    .count();
            String name = lends ? "skewed_team_refused_share_lending" : "skewed_team_refused_share_even";
            figures.add(Figure.unbounded(name, (double) refused / load.callers().size()));
        }
    }
}
