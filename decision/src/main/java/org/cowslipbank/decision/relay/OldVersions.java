package org.cowslipbank.decision.relay;

/**
 * By how much an engine with old weights counts as worse. Right after a version is named all engines are used alike;
 * later the few that have it are preferred, and close to the version's bound the others get nothing.
 */
public final class OldVersions {
    /** Time after which answers made on old weights are worth less, stated by the platform's rules. */
    static final long WORTH_LESS_MILLIS = 1_500;

    /** What a fifth of a long answer is worth in delay, in milliseconds. */
    static final long WORTH_LESS_PENALTY_MILLIS = 150;

    /** Time before the version's bound from which old weights are not used; a request may wait in its engine. */
    static final long CLOSED_BEFORE_MILLIS = 900;

    private OldVersions() {}

    /**
     * Returns the penalty.
     *
     * @param ageMillis time since the version was named, in milliseconds
     * @return the penalty in milliseconds
     */
    public static long penaltyMillis(long ageMillis) {
        return ageMillis >= WORTH_LESS_MILLIS ? WORTH_LESS_PENALTY_MILLIS : 0;
    }

    /**
     * Tells whether an engine with old weights must get no request any more.
     *
     * @param ageMillis time since the version was named, in milliseconds
     * @param boundMillis time in which a version must be in force, in milliseconds
     * @return true if a request could begin there later than the bound allows
     */
    public static boolean isClosed(long ageMillis, long boundMillis) {
        return boundMillis > 0 && ageMillis >= boundMillis - CLOSED_BEFORE_MILLIS;
    }
}
