package org.cowslipbank.decision.membership;

/**
 * Settings of the membership protocol.
 *
 * @param probePeriodMillis time between two probes of a node
 * @param probeTimeoutMillis wait for an acknowledgement before indirect probes are sent
 * @param indirectTimeoutMillis wait of a helper for the acknowledgement of its probe
 * @param indirectProbes number of helpers asked
 * @param suspicionMillis time that a suspect node has to refute
 * @param deadProbePeriodMillis time between two probes of dead nodes, by which a healed partition is noticed
 * @param forgetMillis time after which a dead node that the platform does not list is forgotten
 * @param gateways nodes of a data centre that probe one other data centre
 * @param crossProbePeriodMillis time between two probes of a gateway to one data centre
 * @param crossProbeTimeoutMillis wait for an acknowledgement from another data centre
 * @param crossFailures unanswered probes in a row after which a gateway holds a data centre for unreachable
 * @param factBytesPerMessage most bytes of facts in one message
 * @param factBytesPerSecond most bytes of facts that a node sends in a second, averaged over a few seconds
 * @param pushFanout nodes to which a new urgent fact is forwarded at once
 * @param pauseMillis gap between two ticks beyond which the node holds itself for paused
 * @param loadsCrossDataCentres whether load digests travel between data centres; too many bytes in a large fleet
 */
public record MembershipSettings(
        long probePeriodMillis,
        long probeTimeoutMillis,
        long indirectTimeoutMillis,
        int indirectProbes,
        long suspicionMillis,
        long deadProbePeriodMillis,
        long forgetMillis,
        int gateways,
        long crossProbePeriodMillis,
        long crossProbeTimeoutMillis,
        int crossFailures,
        int factBytesPerMessage,
        int factBytesPerSecond,
        int pushFanout,
        long pauseMillis,
        boolean loadsCrossDataCentres) {
    /** Settings of a fleet of up to a few dozen nodes. */
    public static final MembershipSettings SMALL_FLEET = new MembershipSettings(
            1_000, 300, 300, 3, 3_000, 5_000, 600_000, 2, 2_000, 800, 4, 400, 500, 3, 2_000, true);

    /** Settings of a fleet of hundreds of nodes. */
    public static final MembershipSettings LARGE_FLEET = new MembershipSettings(
            1_000, 300, 300, 3, 3_000, 5_000, 600_000, 2, 2_000, 800, 4, 400, 500, 3, 2_000, false);
}
