package org.cowslipbank.decision.rollout;

/**
 * Limits on how fast a controller changes its engines.
 *
 * @param loadsPerDataCentre concurrent weight loads in a data centre, over all model groups
 * @param weightStoreBytesPerSecond this controller's share of the weight store's transfer rate
 * @param weightStoreBurstBytes capacity of the token bucket for weight loads; at least the weights of one version
 * @param slotTtlMillis lease time of a load slot; longer than a load may take
 * @param pendingMillis how long a command may take to show in the engine's reports before it is sent again
 * @param announceMillis delay between announcing an engine as leaving and sending the command, so that no node sends it
 *     work that it refuses
 * @param drainMillis longest drain before a version change; zero skips the drain and leaves runs going during the load
 * @param unavailableShare share of the group that may be out of service at once; one engine always may
 */
public record RolloutLimits(
        int loadsPerDataCentre,
        double weightStoreBytesPerSecond,
        double weightStoreBurstBytes,
        long slotTtlMillis,
        long pendingMillis,
        long announceMillis,
        long drainMillis,
        double unavailableShare) {}
