package org.cowslipbank.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Generates the requests of a workload from a seed. */
final class WorkloadGenerator {
    /** The first sessions begin this long before the model's clock starts, so that it starts under load. */
    private static final long SESSION_LEAD_IN_MILLIS = 7_200_000;

    private static final int MAX_PROMPT_TOKENS = 40_000;
    private static final double RETURN_GAP_SIGMA = 0.7;
    private static final double MIN_RETURN_GAP_MILLIS = 100_000;
    private static final int SAMPLE_SESSIONS = 4_000;
    // Half of the callers send their prompt right after the endpoint lookup; the others first open a page.
    private static final double IMMEDIATE_PROMPT_SHARE = 0.5;
    private static final double IMMEDIATE_PROMPT_MILLIS = 8;
    private static final double MEAN_EXTRA_DELAY_MILLIS = 3_000;

    private final Workload workload;
    private final SplittableRandom random;

    WorkloadGenerator(Workload workload, long seed) {
        this.workload = workload;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Returns requests in the order of their lookup time. Without any caching, their prompts would use the share
     * {@code load} of the engines' time.
     */
    List<Arrival> generate(double load, long durationMillis) {
        double tokensPerSession = meanTokensPerSession();
        double capacity = workload.engines() * workload.prefillTokensPerSecond();
        double sessionIntervalMillis = 1_000 * tokensPerSession / (load * capacity);
        List<Arrival> arrivals = new ArrayList<>();
        double startMillis = -SESSION_LEAD_IN_MILLIS;
        for (int session = 0; startMillis < durationMillis; session++) {
            addSession(arrivals, session, (long) startMillis, durationMillis);
            startMillis += exponential(sessionIntervalMillis);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::lookupMillis).thenComparingInt(Arrival::session));
        return arrivals;
    }

    private double meanTokensPerSession() {
        List<Arrival> sample = new ArrayList<>();
        for (int session = 0; session < SAMPLE_SESSIONS; session++) {
            addSession(sample, session, 0, Long.MAX_VALUE);
        }
        return sample.stream().mapToLong(Arrival::promptTokens).sum() / (double) SAMPLE_SESSIONS;
    }

    private void addSession(List<Arrival> arrivals, int session, long startMillis, long endMillis) {
        int teamIndex = randomTeam();
        TeamProfile team = workload.teams().get(teamIndex);
        int promptTokens = between(team.firstTokensMin(), team.firstTokensMax());
        int reusableTokens = 0;
        long at = startMillis;
        while (true) {
            int answerTokens = between(100, 500);
            int nextTokens = promptTokens + answerTokens + between(100, team.addedTokensMax() - 500);
            boolean returns = random.nextDouble() < team.returnProbability() && nextTokens <= MAX_PROMPT_TOKENS;
            long returnAt = returns ? at + (long) returnGapMillis(team) : Long.MAX_VALUE;
            long lookupLead = (long) lookupLeadMillis();
            if (at - lookupLead >= 0 && at < endMillis) {
                arrivals.add(new Arrival(
                        session, teamIndex, at - lookupLead, at, promptTokens, reusableTokens, answerTokens, returnAt));
            }
            if (!returns) {
                return;
            }
            reusableTokens = promptTokens + answerTokens;
            promptTokens = nextTokens;
            at = returnAt;
        }
    }

    private int randomTeam() {
        double left = random.nextDouble();
        int last = workload.teams().size() - 1;
        for (int i = 0; i < last; i++) {
            left -= workload.teams().get(i).share();
            if (left < 0) {
                return i;
            }
        }
        return last;
    }

    private double returnGapMillis(TeamProfile team) {
        double gap = team.gapMedianMillis() * Math.exp(RETURN_GAP_SIGMA * gaussian());
        return Math.max(MIN_RETURN_GAP_MILLIS, gap);
    }

    private double lookupLeadMillis() {
        boolean immediate = random.nextDouble() < IMMEDIATE_PROMPT_SHARE;
        return immediate ? IMMEDIATE_PROMPT_MILLIS : IMMEDIATE_PROMPT_MILLIS + exponential(MEAN_EXTRA_DELAY_MILLIS);
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private double gaussian() {
        double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        return radius * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private int between(int from, int to) {
        return from + random.nextInt(to - from + 1);
    }
}
