package org.cowslipbank.decision.rollout;

import java.util.Map;
import java.util.TreeMap;

import org.cowslipbank.model.UpstreamId;

/**
 * State of a model group's controller. Times are milliseconds on the node's monotonic clock.
 *
 * @param limits the limits
 * @param token fencing token of the controller's lease
 * @param leaseUntilMillis when the lease expires
 * @param confirmed false until the platform has confirmed the lease since the last pause
 * @param unconfirmedSinceMillis answers to lease requests sent before this time are ignored
 * @param lastTickMillis time of the last tick, -1 before the first
 * @param leaseAskedAtMillis when the lease was last requested, -1 if never
 * @param budgetBytes level of the token bucket for loads from the weight store
 * @param targets targets by upstream
 * @param views last reports by upstream
 * @param progress what the controller has done, by upstream
 */
public record RolloutState(
        RolloutLimits limits,
        long token,
        long leaseUntilMillis,
        boolean confirmed,
        long unconfirmedSinceMillis,
        long lastTickMillis,
        long leaseAskedAtMillis,
        double budgetBytes,
        Map<UpstreamId, EngineTarget> targets,
        Map<UpstreamId, EngineReport> views,
        Map<UpstreamId, EngineProgress> progress) {
    /** Makes unmodifiable copies of the maps; null keys and values are rejected with NullPointerException. */
    public RolloutState {
        targets = Map.copyOf(targets);
        views = Map.copyOf(views);
        progress = Map.copyOf(progress);
    }

    EngineProgress progressOf(UpstreamId upstream) {
        return progress.getOrDefault(upstream, EngineProgress.NONE);
    }

    RolloutState withUnconfirmedLease(long sinceMillis) {
        return withLease(token, leaseUntilMillis, false, sinceMillis);
    }

    RolloutState withLease(long newToken, long untilMillis, boolean newConfirmed, long sinceMillis) {
        return new RolloutState(
                limits,
                newToken,
                untilMillis,
                newConfirmed,
                sinceMillis,
                lastTickMillis,
                leaseAskedAtMillis,
                budgetBytes,
                targets,
                views,
                progress);
    }

    RolloutState withBudgetAt(long nowMillis, double bytes) {
        return new RolloutState(
                limits,
                token,
                leaseUntilMillis,
                confirmed,
                unconfirmedSinceMillis,
                nowMillis,
                leaseAskedAtMillis,
                bytes,
                targets,
                views,
                progress);
    }

    RolloutState withLeaseRequest(long nowMillis) {
        return new RolloutState(
                limits,
                token,
                leaseUntilMillis,
                confirmed,
                unconfirmedSinceMillis,
                lastTickMillis,
                nowMillis,
                budgetBytes,
                targets,
                views,
                progress);
    }

    RolloutState withTargets(Map<UpstreamId, EngineTarget> changed) {
        return new RolloutState(
                limits,
                token,
                leaseUntilMillis,
                confirmed,
                unconfirmedSinceMillis,
                lastTickMillis,
                leaseAskedAtMillis,
                budgetBytes,
                changed,
                views,
                progress);
    }

    RolloutState withView(EngineReport view) {
        Map<UpstreamId, EngineReport> changed = new TreeMap<>(views);
        changed.put(view.upstream(), view);
        return new RolloutState(
                limits,
                token,
                leaseUntilMillis,
                confirmed,
                unconfirmedSinceMillis,
                lastTickMillis,
                leaseAskedAtMillis,
                budgetBytes,
                targets,
                changed,
                progress);
    }

    RolloutState withProgress(UpstreamId upstream, EngineProgress done) {
        Map<UpstreamId, EngineProgress> changed = new TreeMap<>(progress);
        changed.put(upstream, done);
        return new RolloutState(
                limits,
                token,
                leaseUntilMillis,
                confirmed,
                unconfirmedSinceMillis,
                lastTickMillis,
                leaseAskedAtMillis,
                budgetBytes,
                targets,
                views,
                changed);
    }
}
