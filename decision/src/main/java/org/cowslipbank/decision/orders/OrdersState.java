package org.cowslipbank.decision.orders;

import java.util.Map;
import java.util.TreeMap;

import org.cowslipbank.model.UpstreamId;

/**
 * State of a controller.
 *
 * @param limits the limits
 * @param token fencing token of the lease
 * @param leaseUntilMillis when the lease lapses by this node's clock
 * @param confirmed false until the platform has confirmed the lease since the last pause
 * @param unconfirmedSinceMillis answers to questions asked before this time confirm nothing
 * @param lastTickMillis the last tick, -1 before the first
 * @param leaseAskedAtMillis when the lease was last asked for, -1 if never
 * @param budgetBytes bytes that may be loaded from the weight store
 * @param targets targets by upstream
 * @param views reports by upstream
 * @param progress what was done, by upstream
 */
public record OrdersState(
        OrderLimits limits,
        long token,
        long leaseUntilMillis,
        boolean confirmed,
        long unconfirmedSinceMillis,
        long lastTickMillis,
        long leaseAskedAtMillis,
        double budgetBytes,
        Map<UpstreamId, OrderTarget> targets,
        Map<UpstreamId, EngineView> views,
        Map<UpstreamId, EngineProgress> progress) {
    /** Copies the maps. */
    public OrdersState {
        targets = Map.copyOf(targets);
        views = Map.copyOf(views);
        progress = Map.copyOf(progress);
    }

    EngineProgress progressOf(UpstreamId upstream) {
        return progress.getOrDefault(upstream, EngineProgress.NONE);
    }

    OrdersState unconfirmed(long sinceMillis) {
        return lease(token, leaseUntilMillis, false, sinceMillis);
    }

    OrdersState lease(long newToken, long untilMillis, boolean newConfirmed, long sinceMillis) {
        return new OrdersState(
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

    OrdersState ticked(long nowMillis, double bytes) {
        return new OrdersState(
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

    OrdersState leaseAsked(long nowMillis) {
        return new OrdersState(
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

    OrdersState withTargets(Map<UpstreamId, OrderTarget> changed) {
        return new OrdersState(
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

    OrdersState withView(EngineView view) {
        Map<UpstreamId, EngineView> changed = new TreeMap<>(views);
        changed.put(view.upstream(), view);
        return new OrdersState(
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

    OrdersState withProgress(UpstreamId upstream, EngineProgress done) {
        Map<UpstreamId, EngineProgress> changed = new TreeMap<>(progress);
        changed.put(upstream, done);
        return new OrdersState(
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
