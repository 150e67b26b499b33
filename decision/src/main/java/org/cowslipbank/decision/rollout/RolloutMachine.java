package org.cowslipbank.decision.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.UpstreamId;

/** Pure state machine that brings the engines of one model group to their targets. */
public final class RolloutMachine {
    /** A longer gap between two ticks means that the process was paused. */
    public static final long PAUSE_DETECTION_MILLIS = 2_000;

    /** No command is sent this close to the end of the lease, since it could arrive after the lease has expired. */
    static final long LEASE_MARGIN_MILLIS = 500;

    /** Interval between requests to acquire or renew the lease; also how long a slot request may stay unanswered. */
    static final long LEASE_REQUEST_INTERVAL_MILLIS = 1_000;

    /** Interval between two reads of an engine's state. */
    static final long STATE_READ_INTERVAL_MILLIS = 1_000;

    /** Reports older than this are not acted on. */
    static final long REPORT_MAX_AGE_MILLIS = 3_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** The transition as a decision that can be recorded and replayed. */
    public static final Decision<RolloutInput, RolloutTransition> DECISION = new Decision<>(
            "orders",
            RolloutInput.class,
            RolloutTransition.class,
            input -> apply(input.state(), input.event(), input.nowMillis()));

    private RolloutMachine() {}

    /**
     * Returns the initial state of a controller, which holds no lease yet.
     *
     * @param limits the limits
     * @param nowMillis the time in milliseconds
     * @return the initial state
     */
    public static RolloutState initialState(RolloutLimits limits, long nowMillis) {
        return new RolloutState(
                limits,
                0,
                nowMillis,
                false,
                nowMillis,
                EngineProgress.NEVER,
                EngineProgress.NEVER,
                limits.weightStoreBurstBytes(),
                Map.of(),
                Map.of(),
                Map.of());
    }

    /**
     * Applies an event.
     *
     * @param state the state before the event
     * @param event the event
     * @param nowMillis the time in milliseconds
     * @return the new state and the actions to carry out
     */
    public static RolloutTransition apply(RolloutState state, RolloutEvent event, long nowMillis) {
        if (event instanceof RolloutEvent.Tick) {
            return onTick(state, nowMillis);
        }
        if (event instanceof RolloutEvent.LeaseAnswer answer) {
            return transition(onLeaseAnswer(state, answer));
        }
        if (event instanceof RolloutEvent.Targets targets) {
            Map<UpstreamId, EngineTarget> byUpstream = new TreeMap<>();
            targets.targets().forEach(target -> byUpstream.put(target.upstream(), target));
            return transition(state.withTargets(byUpstream));
        }
        if (event instanceof RolloutEvent.ReportReceived observed) {
            return onObserved(state, observed.view());
        }
        if (event instanceof RolloutEvent.CommandRejected rejected) {
            return transition(rejected.token() == state.token() ? state.withUnconfirmedLease(nowMillis) : state);
        }
        if (event instanceof RolloutEvent.SlotAnswer slot) {
            return onSlotAnswer(state, slot);
        }
        UpstreamId exported = ((RolloutEvent.Exported) event).upstream();
        EngineProgress done = state.progressOf(exported).withExport(EngineProgress.Export.DONE);
        return transition(state.withProgress(exported, done));
    }

    private static RolloutState onLeaseAnswer(RolloutState state, RolloutEvent.LeaseAnswer answer) {
        if (!answer.held()) {
            return state.withUnconfirmedLease(state.unconfirmedSinceMillis());
        }
        if (answer.askedAtMillis() < state.unconfirmedSinceMillis()) {
            return state;
        }
        long untilMillis = answer.askedAtMillis() + answer.ttlMillis();
        return state.withLease(answer.token(), untilMillis, true, state.unconfirmedSinceMillis());
    }

    private static RolloutTransition onObserved(RolloutState state, EngineReport view) {
        EngineReport known = state.views().get(view.upstream());
        if (known != null && known.readAtMillis() > view.readAtMillis()) {
            return transition(state);
        }
        RolloutState next = state.withView(view);
        EngineTarget target = state.targets().get(view.upstream());
        EngineProgress progress = state.progressOf(view.upstream());
        boolean loadDone = target != null
                && view.loaded().equals(target.model())
                && !view.loading()
                && view.readAtMillis() >= progress.loadOrderedAtMillis();
        if (!loadDone || target.retire()) {
            return transition(next);
        }
        List<RolloutEffect> effects = new ArrayList<>();
        if (progress.slot() != EngineProgress.NO_SLOT && !view.draining()) {
            effects.add(new RolloutEffect.ReleaseSlot(view.upstream(), target.dataCentre(), progress.slot()));
        }
        if (progress.announcedAtMillis() != EngineProgress.NEVER && !view.draining()) {
            effects.add(new RolloutEffect.Announce(view.upstream(), false));
        }
        EngineProgress updated = view.draining() ? progress : progress.withTargetReached();
        return new RolloutTransition(next.withProgress(view.upstream(), updated), effects);
    }

    private static RolloutTransition onSlotAnswer(RolloutState state, RolloutEvent.SlotAnswer answer) {
        EngineProgress progress = state.progressOf(answer.upstream());
        boolean expected = progress.slotAskedAtMillis() != EngineProgress.NEVER
                && answer.askedAtMillis() >= progress.slotAskedAtMillis();
        if (!expected) {
            return transition(state);
        }
        long untilMillis = answer.askedAtMillis() + state.limits().slotTtlMillis();
        EngineProgress next = answer.held()
                ? progress.withSlot(answer.slot(), untilMillis)
                : progress.withSlot(EngineProgress.NO_SLOT, EngineProgress.NEVER);
        return transition(state.withProgress(answer.upstream(), next));
    }

    private static RolloutTransition onTick(RolloutState state, long nowMillis) {
        long last = state.lastTickMillis();
        long elapsedMillis = last == EngineProgress.NEVER ? 0 : nowMillis - last;
        double refill = elapsedMillis * state.limits().weightStoreBytesPerSecond() / MILLIS_PER_SECOND;
        double bytes = Math.min(state.limits().weightStoreBurstBytes(), state.budgetBytes() + refill);
        RolloutState next = state.withBudgetAt(nowMillis, bytes);
        if (elapsedMillis > PAUSE_DETECTION_MILLIS) {
            next = next.withUnconfirmedLease(nowMillis);
        }
        List<RolloutEffect> effects = new ArrayList<>();
        boolean requestLease = next.leaseAskedAtMillis() == EngineProgress.NEVER
                || nowMillis - next.leaseAskedAtMillis() >= LEASE_REQUEST_INTERVAL_MILLIS
                || elapsedMillis > PAUSE_DETECTION_MILLIS;
        if (requestLease) {
            next = next.withLeaseRequest(nowMillis);
            effects.add(new RolloutEffect.RequestLease());
        }
        if (!holdsUsableLease(next, nowMillis)) {
            return new RolloutTransition(next, effects);
        }
        return reconcile(next, effects, nowMillis);
    }

    private static boolean holdsUsableLease(RolloutState state, long nowMillis) {
        return state.confirmed() && nowMillis + LEASE_MARGIN_MILLIS < state.leaseUntilMillis();
    }

    private static RolloutTransition reconcile(RolloutState state, List<RolloutEffect> effects, long nowMillis) {
        RolloutState next = state;
        for (UpstreamId upstream : new TreeSet<>(state.targets().keySet())) {
            EngineProgress progress = next.progressOf(upstream);
            if (nowMillis - progress.askedAtMillis() >= STATE_READ_INTERVAL_MILLIS
                    || progress.askedAtMillis() == EngineProgress.NEVER) {
                next = next.withProgress(upstream, progress.withStateRequest(nowMillis));
                effects.add(new RolloutEffect.ReadState(upstream));
            }
            EngineReport view = next.views().get(upstream);
            boolean reportIsFresh = view != null && nowMillis - view.readAtMillis() <= REPORT_MAX_AGE_MILLIS;
            if (reportIsFresh) {
                next = reconcileEngine(next, next.targets().get(upstream), view, effects, nowMillis);
            }
        }
        return new RolloutTransition(next, effects);
    }

    private static RolloutState reconcileEngine(
            RolloutState state, EngineTarget target, EngineReport view, List<RolloutEffect> effects, long nowMillis) {
        EngineProgress progress = state.progressOf(target.upstream());
        boolean commandPending = progress.orderedAtMillis() != EngineProgress.NEVER
                && view.readAtMillis() <= progress.orderedAtMillis()
                && nowMillis - progress.orderedAtMillis() < state.limits().pendingMillis();
        if (commandPending || view.loading()) {
            return state;
        }
        boolean needsLoad = !view.loaded().equals(target.model());
        if (target.retire()) {
            return retire(state, target, view, effects, nowMillis);
        }
        if (!needsLoad) {
            return view.draining() ? sendRoleCommand(state, target, view, false, effects, nowMillis) : state;
        }
        if (!isAnnounced(state, target.upstream(), nowMillis)) {
            return announce(state, target.upstream(), effects, nowMillis);
        }
        long drainSinceMillis = progress.drainSinceMillis();
        boolean drained = view.inFlight() == 0 || state.limits().drainMillis() <= 0;
        if (!drained && drainSinceMillis == EngineProgress.NEVER) {
            return drain(state, target, view, effects, nowMillis);
        }
        boolean drainTimedOut = drainSinceMillis != EngineProgress.NEVER
                && nowMillis - drainSinceMillis >= state.limits().drainMillis();
        return drained || drainTimedOut ? load(state, target, view, effects, nowMillis) : state;
    }

    private static RolloutState retire(
            RolloutState state, EngineTarget target, EngineReport view, List<RolloutEffect> effects, long nowMillis) {
        UpstreamId upstream = target.upstream();
        EngineProgress progress = state.progressOf(upstream);
        if (!view.draining()) {
            return isAnnounced(state, upstream, nowMillis)
                    ? drain(state, target, view, effects, nowMillis)
                    : announce(state, upstream, effects, nowMillis);
        }
        if (view.inFlight() > 0 || progress.exported() == EngineProgress.Export.RUNNING) {
            return state;
        }
        if (progress.exported() == EngineProgress.Export.NONE) {
            effects.add(new RolloutEffect.Export(upstream));
            return state.withProgress(upstream, progress.withExport(EngineProgress.Export.RUNNING));
        }
        effects.add(new RolloutEffect.Retire(upstream));
        Map<UpstreamId, EngineTarget> remaining = new TreeMap<>(state.targets());
        remaining.remove(upstream);
        return state.withTargets(remaining);
    }

    private static boolean isAnnounced(RolloutState state, UpstreamId upstream, long nowMillis) {
        long announcedAtMillis = state.progressOf(upstream).announcedAtMillis();
        return announcedAtMillis != EngineProgress.NEVER
                && nowMillis - announcedAtMillis >= state.limits().announceMillis();
    }

    /** Announces an engine as leaving, unless that has been done already or too many engines are out of service. */
    private static RolloutState announce(
            RolloutState state, UpstreamId upstream, List<RolloutEffect> effects, long nowMillis) {
        EngineProgress progress = state.progressOf(upstream);
        if (progress.announcedAtMillis() != EngineProgress.NEVER || !mayTakeOutOfService(state, upstream)) {
            return state;
        }
        effects.add(new RolloutEffect.Announce(upstream, true));
        return state.withProgress(upstream, progress.withAnnouncement(nowMillis));
    }

    private static RolloutState drain(
            RolloutState state, EngineTarget target, EngineReport view, List<RolloutEffect> effects, long nowMillis) {
        RolloutState draining = state.withProgress(
                target.upstream(), state.progressOf(target.upstream()).withDrain(nowMillis));
        return sendRoleCommand(draining, target, view, true, effects, nowMillis);
    }

    private static boolean mayTakeOutOfService(RolloutState state, UpstreamId upstream) {
        long outOfService = state.targets().keySet().stream()
                .filter(other -> !other.equals(upstream) && isOutOfService(state, other))
                .count();
        int allowed = (int) (state.limits().unavailableShare() * state.targets().size());
        return outOfService < Math.max(1, allowed);
    }

    private static boolean isOutOfService(RolloutState state, UpstreamId upstream) {
        EngineReport view = state.views().get(upstream);
        boolean reportedOutOfService = view == null || view.draining() || view.loading();
        return reportedOutOfService || state.progressOf(upstream).announcedAtMillis() != EngineProgress.NEVER;
    }

    private static RolloutState load(
            RolloutState state, EngineTarget target, EngineReport view, List<RolloutEffect> effects, long nowMillis) {
        UpstreamId upstream = target.upstream();
        EngineProgress progress = state.progressOf(upstream);
        // The command must go out in the first half of the slot's lease, so that the load fits into the second half.
        boolean slotUsable = progress.slot() != EngineProgress.NO_SLOT
                && nowMillis + state.limits().slotTtlMillis() / 2 < progress.slotUntilMillis();
        if (!slotUsable) {
            return requestSlot(state, target, effects, nowMillis);
        }
        if (state.budgetBytes() < target.weightBytes()) {
            return state;
        }
        RolloutState charged = state.withBudgetAt(nowMillis, state.budgetBytes() - target.weightBytes());
        RolloutState commanded =
                charged.withProgress(upstream, charged.progressOf(upstream).withCommand(nowMillis, true));
        effects.add(new RolloutEffect.Command(upstream, state.token(), target.model(), false));
        return commanded;
    }

    private static RolloutState requestSlot(
            RolloutState state, EngineTarget target, List<RolloutEffect> effects, long nowMillis) {
        UpstreamId upstream = target.upstream();
        EngineProgress progress = state.progressOf(upstream);
        boolean requestPending = progress.slotAskedAtMillis() != EngineProgress.NEVER
                && nowMillis - progress.slotAskedAtMillis() < LEASE_REQUEST_INTERVAL_MILLIS;
        boolean held = progress.slot() != EngineProgress.NO_SLOT && nowMillis < progress.slotUntilMillis();
        int slots = state.limits().loadsPerDataCentre();
        if (requestPending || held) {
            return state;
        }
        // Trying one slot after the other finds a free one without listing them.
        int slot = (int) Math.floorMod(nowMillis / LEASE_REQUEST_INTERVAL_MILLIS + upstream.hashCode(), (long) slots);
        effects.add(new RolloutEffect.RequestSlot(
                upstream, target.dataCentre(), slot, state.limits().slotTtlMillis()));
        return state.withProgress(upstream, progress.withSlotRequest(nowMillis));
    }

    private static RolloutState sendRoleCommand(
            RolloutState state,
            EngineTarget target,
            EngineReport view,
            boolean draining,
            List<RolloutEffect> effects,
            long nowMillis) {
        UpstreamId upstream = target.upstream();
        effects.add(new RolloutEffect.Command(upstream, state.token(), view.loaded(), draining));
        return state.withProgress(upstream, state.progressOf(upstream).withCommand(nowMillis, false));
    }

    private static RolloutTransition transition(RolloutState state, RolloutEffect... effects) {
        return new RolloutTransition(state, List.of(effects));
    }
}
