package org.cowslipbank.decision.relay;

/**
 * By how much an engine with old weights counts as worse. Right after a version is named all engines are used alike;
 * later the few that have it are preferred, and close to the version's bound the others are a last resort.
 */
public final class OldVersions {
    /** Time after which answers made on old weights are worth less, stated by the platform's rules. */
    static final long WORTH_LESS_MILLIS = 1_500;

    /** What a fifth of a long answer is worth in delay, in milliseconds. */
    static final long WORTH_LESS_PENALTY_MILLIS = 150;

    /** Part of the version's bound after which old weights are a last resort; a request takes a moment to begin. */
    static final double LAST_RESORT_SHARE = 0.85;

    /** Delay that exceeds that of any engine with work. */
    static final long LAST_RESORT_MILLIS = 20_000;

    private OldVersions() {}

    /**
     * Returns the penalty.
     *
     * @param ageMillis time since the version was named, in milliseconds
     * @param boundMillis time in which a version must be in force, in milliseconds
     * @return the penalty in milliseconds
     */
    public static long penaltyMillis(long ageMillis, long boundMillis) {
        if (ageMillis >= LAST_RESORT_SHARE * boundMillis) {
            return LAST_RESORT_MILLIS;
        }
        return ageMillis >= WORTH_LESS_MILLIS ? WORTH_LESS_PENALTY_MILLIS : 0;
    }
}
