package org.cowslipbank.bench.load;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Generates seeded arrivals: the next turn of a session whose return is due, otherwise a new session. */
final class Arrivals {
    private static final double PROMPT_GROWTH_PER_TURN = 0.05;
    private static final double RAMP_SHARE_OF_WARM_UP = 0.6;
    private static final double INITIAL_RATE_SHARE = 0.05;
    private static final String PROMPT_FILLER = "Beam span, post spacing and roof pitch of the kit. ";

    private final LoadSettings settings;
    private final SplittableRandom random;
    // Last request of each session that will return. All return gaps are equal, so the queue is in order of return.
    private final Queue<LoadRequest> waitingToReturn = new ArrayDeque<>();
    private long nextNumber;
    private double offsetNanos;

    Arrivals(LoadSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
    }

    LoadRequest nextRequest() {
        double gapSeconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond();
        offsetNanos += gapSeconds * TimeUnit.SECONDS.toNanos(1);
        LoadRequest request = isReturnDue() ? nextTurn(waitingToReturn.remove()) : newSession();
        nextNumber++;
        if (settings.returnGapMillis() > 0 && request.turn() + 1 < settings.turns()) {
            waitingToReturn.add(request);
        }
        return request;
    }

    // Ramps the rate up: a cold JVM cannot carry the full rate, and its backlog would outlast the warm-up.
    private double requestsPerSecond() {
        double warmUpNanos = settings.warmUpSeconds() * (double) TimeUnit.SECONDS.toNanos(1);
        double ramp = warmUpNanos == 0 ? 1 : Math.min(1, offsetNanos / (RAMP_SHARE_OF_WARM_UP * warmUpNanos));
        return settings.requestsPerSecond() * Math.max(INITIAL_RATE_SHARE, ramp);
    }

    private boolean isReturnDue() {
        LoadRequest first = waitingToReturn.peek();
        return first != null
                && first.offsetNanos() + TimeUnit.MILLISECONDS.toNanos(settings.returnGapMillis()) <= offsetNanos;
    }

    private LoadRequest newSession() {
        int team = (int) (nextNumber % settings.teams().size());
        String session = "s" + settings.seed() + "-" + nextNumber;
        return new LoadRequest(
                nextNumber, (long) offsetNanos, session, team, 0, makeText(session, settings.promptBytes()));
    }

    private LoadRequest nextTurn(LoadRequest earlier) {
        int added = (int) (settings.promptBytes() * PROMPT_GROWTH_PER_TURN);
        String prompt = earlier.prompt() + makeText(" turn " + (earlier.turn() + 1), added);
        return new LoadRequest(
                nextNumber, (long) offsetNanos, earlier.session(), earlier.team(), earlier.turn() + 1, prompt);
    }

    // The unique prefix keeps sessions from sharing blocks in the prefix caches of the engines.
    private static String makeText(String start, int bytes) {
        String repeated = start + ": " + PROMPT_FILLER.repeat(bytes / PROMPT_FILLER.length() + 1);
        return repeated.substring(0, bytes);
    }
}
