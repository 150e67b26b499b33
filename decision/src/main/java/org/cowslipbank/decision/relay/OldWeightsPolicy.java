package org.cowslipbank.decision.relay;

/**
 * Penalty for engines that still run an old weight version. Right after a new version is announced all engines are used
 * alike; later the few that have loaded it are preferred, and shortly before the version's bound the others are
 * excluded.
 */
public final class OldWeightsPolicy {
    /** Age of a version from which the platform's rules value an answer from older weights lower. */
    static final long LOWER_VALUE_AGE_MILLIS = 1_500;

    /** Delay that equals the loss in value, in milliseconds: the worth of a fifth of a long answer. */
    static final long LOWER_VALUE_PENALTY_MILLIS = 150;

    /** Time before the version's bound from which old weights are excluded; a request may still wait in its engine. */
    static final long EXCLUSION_LEAD_MILLIS = 900;

    private OldWeightsPolicy() {}

    /**
     * Returns the delay by which an engine with old weights counts as worse.
     *
     * @param ageMillis time since the new version was announced, in milliseconds
     * @return the penalty in milliseconds
     */
    public static long penaltyMillis(long ageMillis) {
        return ageMillis >= LOWER_VALUE_AGE_MILLIS ? LOWER_VALUE_PENALTY_MILLIS : 0;
    }

    /**
     * Returns whether an engine with old weights must not get any more requests.
     *
     * @param ageMillis time since the new version was announced, in milliseconds
     * @param boundMillis time within which a version must be in force, in milliseconds; zero or less means no bound
     * @return true if a request could start on old weights after the bound
     */
    public static boolean isExcluded(long ageMillis, long boundMillis) {
        return boundMillis > 0 && ageMillis >= boundMillis - EXCLUSION_LEAD_MILLIS;
    }
}
