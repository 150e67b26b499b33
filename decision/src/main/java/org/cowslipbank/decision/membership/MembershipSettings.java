package org.cowslipbank.decision.membership;

/**
 * Settings of the membership protocol.
 *
 * @param probePeriodMillis time between two probes of a node
 * @param probeTimeoutMillis wait for an acknowledgement before indirect probes are sent
 * @param indirectTimeoutMillis how long a helper waits for the acknowledgement of its indirect probe
 * @param indirectProbes number of helpers asked to probe a node that did not answer
 * @param suspicionMillis time that a suspect node has to refute the suspicion before it is considered dead
 * @param deadProbePeriodMillis time between two probes of dead nodes, which detect that a partition has healed
 * @param deadRetentionMillis time after which a dead node that the platform does not list is removed
 * @param gateways number of nodes of a data centre that probe one other data centre
 * @param crossProbePeriodMillis time between two probes from a gateway to one other data centre
 * @param crossProbeTimeoutMillis wait for an acknowledgement from another data centre
 * @param crossFailures consecutive unanswered probes after which a gateway considers a data centre unreachable
 * @param factBytesPerMessage most bytes of facts in one message
 * @param factBytesPerSecond most bytes of facts that a node sends in a second, averaged over a few seconds
 * @param pushFanout number of nodes to which a new urgent fact is forwarded at once
 * @param pauseDetectionMillis a longer gap between two ticks means that the node was paused
 * @param loadsCrossDataCentres whether load digests are sent to other data centres; takes too much bandwidth in a large fleet
 */
public record MembershipSettings(
        long probePeriodMillis,
        long probeTimeoutMillis,
        long indirectTimeoutMillis,
        int indirectProbes,
        long suspicionMillis,
        long deadProbePeriodMillis,
        long deadRetentionMillis,
        int gateways,
        long crossProbePeriodMillis,
        long crossProbeTimeoutMillis,
        int crossFailures,
        int factBytesPerMessage,
        int factBytesPerSecond,
        int pushFanout,
        long pauseDetectionMillis,
        boolean loadsCrossDataCentres) {
    /** Settings of a fleet of up to a few dozen nodes. */
    public static final MembershipSettings SMALL_FLEET = new MembershipSettings(
            1_000, 300, 300, 3, 3_000, 5_000, 600_000, 2, 2_000, 800, 4, 400, 500, 3, 2_000, true);

    /** Settings of a fleet of hundreds of nodes. */
    public static final MembershipSettings LARGE_FLEET = new MembershipSettings(
            1_000, 300, 300, 3, 3_000, 5_000, 600_000, 2, 2_000, 800, 4, 400, 500, 3, 2_000, false);
}
