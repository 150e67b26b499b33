package org.cowslipbank.bench.load;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Seeded arrivals: an arrival is the return of a session whose gap has passed, or else a new session. */
final class Arrivals {
    private static final double GROWTH_PER_TURN = 0.05;
    private static final double RAMP_SHARE = 0.6;
    private static final double FIRST_RATE_SHARE = 0.05;
    private static final String FILLER = "Beam span, post spacing and roof pitch of the kit. ";

    private final LoadSettings settings;
    private final SplittableRandom random;
    // All gaps are equal, so sessions return in the order in which they were sent.
    private final Queue<LoadRequest> away = new ArrayDeque<>();
    private long next;
    private double offsetNanos;

    Arrivals(LoadSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
    }

    LoadRequest next() {
        double gapSeconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond();
        offsetNanos += gapSeconds * TimeUnit.SECONDS.toNanos(1);
        LoadRequest request = returning() ? again(away.remove()) : fresh();
        next++;
        if (settings.returnGapMillis() > 0 && request.turn() + 1 < settings.turns()) {
            away.add(request);
        }
        return request;
    }

    // A cold JVM cannot carry the full rate, and the backlog of its first seconds would outlast the warm-up.
    private double requestsPerSecond() {
        double warmUpNanos = settings.warmUpSeconds() * (double) TimeUnit.SECONDS.toNanos(1);
        double ramp = warmUpNanos == 0 ? 1 : Math.min(1, offsetNanos / (RAMP_SHARE * warmUpNanos));
        return settings.requestsPerSecond() * Math.max(FIRST_RATE_SHARE, ramp);
    }

    private boolean returning() {
        LoadRequest first = away.peek();
        return first != null
                && first.offsetNanos() + TimeUnit.MILLISECONDS.toNanos(settings.returnGapMillis()) <= offsetNanos;
    }

    private LoadRequest fresh() {
        int team = (int) (next % settings.teams().size());
        String session = "s" + settings.seed() + "-" + next;
        return new LoadRequest(next, (long) offsetNanos, session, team, 0, text(session, settings.promptBytes()));
    }

    private LoadRequest again(LoadRequest earlier) {
        int added = (int) (settings.promptBytes() * GROWTH_PER_TURN);
        String prompt = earlier.prompt() + text(" turn " + (earlier.turn() + 1), added);
        return new LoadRequest(next, (long) offsetNanos, earlier.session(), earlier.team(), earlier.turn() + 1, prompt);
    }

    // The unique start keeps sessions from sharing a prefix in the engine's cache.
    private static String text(String start, int bytes) {
        String repeated = start + ": " + FILLER.repeat(bytes / FILLER.length() + 1);
        return repeated.substring(0, bytes);
    }
}
