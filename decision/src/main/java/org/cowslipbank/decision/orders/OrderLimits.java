package org.cowslipbank.decision.orders;

/**
 * Limits of a controller.
 *
 * @param loadsPerDataCentre concurrent weight loads in a data centre, over all model groups
 * @param weightStoreBytesPerSecond this controller's share of the weight store's rate
 * @param weightStoreBurstBytes the most bytes of unused rate that are kept; at least one version's weights
 * @param slotTtlMillis lifetime of a load slot; longer than a load may take
 * @param pendingMillis how long a command may take to show in the engine's state before it is given again
 * @param announceMillis time from telling the nodes that an engine leaves to the command, so that none sends it work that
 *     it refuses
 * @param drainMillis longest drain before a version change; zero lets runs keep going during the load
 * @param unavailableShare share of the group that may be out of service at once; at least one engine may
 */
public record OrderLimits(
        int loadsPerDataCentre,
        double weightStoreBytesPerSecond,
        double weightStoreBurstBytes,
        long slotTtlMillis,
        long pendingMillis,
        long announceMillis,
        long drainMillis,
        double unavailableShare) {}
