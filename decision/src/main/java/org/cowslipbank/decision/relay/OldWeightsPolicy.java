package org.cowslipbank.decision.relay;

/**
 * Penalty for engines that still run an old weight version. Right after a new version is announced all engines are used
 * alike; later the few that have loaded it are preferred, and shortly before the version's bound the others are
 * excluded. Requests that were sent before and have not begun when the bound comes are taken back.
 */
public final class OldWeightsPolicy {
    /** Age of a version from which the platform's rules value an answer from older weights lower. */
    static final long LOWER_VALUE_AGE_MILLIS = 1_500;

    /** Delay that equals the loss in value, in milliseconds: the worth of a fifth of a long answer. */
    static final long LOWER_VALUE_PENALTY_MILLIS = 150;

    /** Time before the version's bound from which old weights are excluded; a request may still wait in its engine. */
    static final long EXCLUSION_LEAD_MILLIS = 900;

    /** The same for a request that must not be sent twice: its engine may also be silent for more than a second. */
    static final long SINGLE_RUN_EXCLUSION_LEAD_MILLIS = 2_200;

    /** Time before the bound at which a request that has not begun is taken back: an interval of checks and the way. */
    static final long TAKE_BACK_LEAD_MILLIS = 300;

    private OldWeightsPolicy() {}

    /**
     * Returns the delay by which an engine with old weights counts as worse.
     *
     * @param ageMillis time since the earliest newer version was announced, in milliseconds
     * @return the penalty in milliseconds
     */
    public static long penaltyMillis(long ageMillis) {
        return ageMillis >= LOWER_VALUE_AGE_MILLIS ? LOWER_VALUE_PENALTY_MILLIS : 0;
    }

    /**
     * Returns whether an engine with old weights must not get any more requests.
     *
     * @param ageMillis time since the earliest newer version was announced, in milliseconds
     * @param boundMillis time within which a version must be in force, in milliseconds; zero or less means no bound
     * @param mayBeTakenBack true if the request may be sent to another engine while it has not begun
     * @return true if a request could start on old weights after the bound
     */
    public static boolean isExcluded(long ageMillis, long boundMillis, boolean mayBeTakenBack) {
        long leadMillis = mayBeTakenBack ? EXCLUSION_LEAD_MILLIS : SINGLE_RUN_EXCLUSION_LEAD_MILLIS;
        return boundMillis > 0 && ageMillis >= boundMillis - leadMillis;
    }

    /**
     * Returns whether a request that waits in an engine with old weights must not begin there any more.
     *
     * @param ageMillis time since the earliest newer version was announced, in milliseconds
     * @param boundMillis time within which a version must be in force, in milliseconds; zero or less means no bound
     * @return true shortly before the bound, and after it
     */
    public static boolean isTakenBack(long ageMillis, long boundMillis) {
        return boundMillis > 0 && ageMillis >= boundMillis - TAKE_BACK_LEAD_MILLIS;
    }
}
