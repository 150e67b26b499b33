package org.cowslipbank.decision.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.UpstreamId;

/** The state machine of one model group's controller. */
public final class OrdersController {
    /** Gap between two ticks that shows that the process was paused, in milliseconds. */
    public static final long PAUSE_MILLIS = 2_000;

    /** Part of a lease's lifetime that is not used, for a command that is under way when it lapses. */
    static final long LEASE_MARGIN_MILLIS = 500;

    /** How often the lease is renewed, and an unconfirmed one asked for. */
    static final long LEASE_ASK_MILLIS = 1_000;

    /** How often an engine's state is read. */
    static final long RECONCILE_MILLIS = 1_000;

    /** Age beyond which a report is not acted on. */
    static final long VIEW_VALID_MILLIS = 3_000;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** The transition as a decision that can be recorded and replayed. */
    public static final Decision<OrdersInput, OrdersTransition> DECISION = new Decision<>(
            "orders",
            OrdersInput.class,
            OrdersTransition.class,
            input -> on(input.state(), input.event(), input.nowMillis()));

    private OrdersController() {}

    /**
     * Returns the state of a controller that holds no lease yet.
     *
     * @param limits the limits
     * @param nowMillis the time in milliseconds
     * @return the state
     */
    public static OrdersState start(OrderLimits limits, long nowMillis) {
        return new OrdersState(
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
     * @param state the state
     * @param event the event
     * @param nowMillis the time in milliseconds
     * @return the new state and what to do
     */
    public static OrdersTransition on(OrdersState state, OrdersEvent event, long nowMillis) {
        if (event instanceof OrdersEvent.Tick) {
            return onTick(state, nowMillis);
        }
        if (event instanceof OrdersEvent.LeaseAnswer answer) {
            return result(onLease(state, answer));
        }
        if (event instanceof OrdersEvent.Targets targets) {
            Map<UpstreamId, OrderTarget> byUpstream = new TreeMap<>();
            targets.targets().forEach(target -> byUpstream.put(target.upstream(), target));
            return result(state.withTargets(byUpstream));
        }
        if (event instanceof OrdersEvent.Observed observed) {
            return onObserved(state, observed.view());
        }
        if (event instanceof OrdersEvent.Rejected rejected) {
            return result(rejected.token() == state.token() ? state.unconfirmed(nowMillis) : state);
        }
        if (event instanceof OrdersEvent.SlotAnswer slot) {
            return onSlot(state, slot);
        }
        UpstreamId exported = ((OrdersEvent.Exported) event).upstream();
        EngineProgress done = state.progressOf(exported).withExport(EngineProgress.Export.DONE);
        return result(state.withProgress(exported, done));
    }

    private static OrdersState onLease(OrdersState state, OrdersEvent.LeaseAnswer answer) {
        if (!answer.held()) {
            return state.unconfirmed(state.unconfirmedSinceMillis());
        }
        if (answer.askedAtMillis() < state.unconfirmedSinceMillis()) {
            return state;
        }
        long untilMillis = answer.askedAtMillis() + answer.ttlMillis();
        return state.lease(answer.token(), untilMillis, true, state.unconfirmedSinceMillis());
    }

    private static OrdersTransition onObserved(OrdersState state, EngineView view) {
        EngineView known = state.views().get(view.upstream());
        if (known != null && known.readAtMillis() > view.readAtMillis()) {
            return result(state);
        }
        OrdersState next = state.withView(view);
        OrderTarget target = state.targets().get(view.upstream());
        EngineProgress progress = state.progressOf(view.upstream());
        boolean loadDone = target != null
                && view.loaded().equals(target.model())
                && !view.loading()
                && view.readAtMillis() >= progress.loadOrderedAtMillis();
        if (!loadDone || target.retire()) {
            return result(next);
        }
        List<OrdersEffect> effects = new ArrayList<>();
        if (progress.slot() != EngineProgress.NO_SLOT && !view.draining()) {
            effects.add(new OrdersEffect.ReleaseSlot(view.upstream(), target.dataCentre(), progress.slot()));
        }
        if (progress.announcedAtMillis() != EngineProgress.NEVER && !view.draining()) {
            effects.add(new OrdersEffect.Announce(view.upstream(), false));
        }
        EngineProgress settled = view.draining() ? progress : progress.settled();
        return new OrdersTransition(next.withProgress(view.upstream(), settled), effects);
    }

    private static OrdersTransition onSlot(OrdersState state, OrdersEvent.SlotAnswer answer) {
        EngineProgress progress = state.progressOf(answer.upstream());
        boolean expected = progress.slotAskedAtMillis() != EngineProgress.NEVER
                && answer.askedAtMillis() >= progress.slotAskedAtMillis();
        if (!expected) {
            return result(state);
        }
        long untilMillis = answer.askedAtMillis() + state.limits().slotTtlMillis();
        EngineProgress next = answer.held()
                ? progress.withSlot(answer.slot(), untilMillis)
                : progress.withSlot(EngineProgress.NO_SLOT, EngineProgress.NEVER);
        return result(state.withProgress(answer.upstream(), next));
    }

    private static OrdersTransition onTick(OrdersState state, long nowMillis) {
        long last = state.lastTickMillis();
        long elapsedMillis = last == EngineProgress.NEVER ? 0 : nowMillis - last;
        double refill = elapsedMillis * state.limits().weightStoreBytesPerSecond() / MILLIS_PER_SECOND;
        double bytes = Math.min(state.limits().weightStoreBurstBytes(), state.budgetBytes() + refill);
        OrdersState next = state.ticked(nowMillis, bytes);
        if (elapsedMillis > PAUSE_MILLIS) {
            next = next.unconfirmed(nowMillis);
        }
        List<OrdersEffect> effects = new ArrayList<>();
        boolean askLease = next.leaseAskedAtMillis() == EngineProgress.NEVER
                || nowMillis - next.leaseAskedAtMillis() >= LEASE_ASK_MILLIS
                || elapsedMillis > PAUSE_MILLIS;
        if (askLease) {
            next = next.leaseAsked(nowMillis);
            effects.add(new OrdersEffect.AskLease());
        }
        if (!mayAct(next, nowMillis)) {
            return new OrdersTransition(next, effects);
        }
        return reconcile(next, effects, nowMillis);
    }

    private static boolean mayAct(OrdersState state, long nowMillis) {
        return state.confirmed() && nowMillis + LEASE_MARGIN_MILLIS < state.leaseUntilMillis();
    }

    private static OrdersTransition reconcile(OrdersState state, List<OrdersEffect> effects, long nowMillis) {
        OrdersState next = state;
        for (UpstreamId upstream : new TreeSet<>(state.targets().keySet())) {
            EngineProgress progress = next.progressOf(upstream);
            if (nowMillis - progress.askedAtMillis() >= RECONCILE_MILLIS
                    || progress.askedAtMillis() == EngineProgress.NEVER) {
                next = next.withProgress(upstream, progress.asked(nowMillis));
                effects.add(new OrdersEffect.ReadState(upstream));
            }
            EngineView view = next.views().get(upstream);
            boolean current = view != null && nowMillis - view.readAtMillis() <= VIEW_VALID_MILLIS;
            if (current) {
                next = reconcileEngine(next, next.targets().get(upstream), view, effects, nowMillis);
            }
        }
        return new OrdersTransition(next, effects);
    }

    private static OrdersState reconcileEngine(
            OrdersState state, OrderTarget target, EngineView view, List<OrdersEffect> effects, long nowMillis) {
        EngineProgress progress = state.progressOf(target.upstream());
        boolean pending = progress.orderedAtMillis() != EngineProgress.NEVER
                && view.readAtMillis() <= progress.orderedAtMillis()
                && nowMillis - progress.orderedAtMillis() < state.limits().pendingMillis();
        if (pending || view.loading()) {
            return state;
        }
        boolean reload = !view.loaded().equals(target.model());
        if (target.retire()) {
            return retire(state, target, view, effects, nowMillis);
        }
        if (!reload) {
            return view.draining() ? order(state, target, view, false, effects, nowMillis) : state;
        }
        if (!isAnnounced(state, target.upstream(), nowMillis)) {
            return announce(state, target.upstream(), effects, nowMillis);
        }
        long drainSinceMillis = progress.drainSinceMillis();
        boolean drained = view.inFlight() == 0 || state.limits().drainMillis() <= 0;
        if (!drained && drainSinceMillis == EngineProgress.NEVER) {
            return drain(state, target, view, effects, nowMillis);
        }
        boolean waited = drainSinceMillis != EngineProgress.NEVER
                && nowMillis - drainSinceMillis >= state.limits().drainMillis();
        return drained || waited ? load(state, target, view, effects, nowMillis) : state;
    }

    private static OrdersState retire(
            OrdersState state, OrderTarget target, EngineView view, List<OrdersEffect> effects, long nowMillis) {
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
            effects.add(new OrdersEffect.Export(upstream));
            return state.withProgress(upstream, progress.withExport(EngineProgress.Export.RUNNING));
        }
        effects.add(new OrdersEffect.Retire(upstream));
        Map<UpstreamId, OrderTarget> remaining = new TreeMap<>(state.targets());
        remaining.remove(upstream);
        return state.withTargets(remaining);
    }

    private static boolean isAnnounced(OrdersState state, UpstreamId upstream, long nowMillis) {
        long announcedAtMillis = state.progressOf(upstream).announcedAtMillis();
        return announcedAtMillis != EngineProgress.NEVER
                && nowMillis - announcedAtMillis >= state.limits().announceMillis();
    }

    /** Announces an engine as leaving, unless it is announced already or too many are out of service. */
    private static OrdersState announce(
            OrdersState state, UpstreamId upstream, List<OrdersEffect> effects, long nowMillis) {
        EngineProgress progress = state.progressOf(upstream);
        if (progress.announcedAtMillis() != EngineProgress.NEVER || !mayTakeOut(state, upstream)) {
            return state;
        }
        effects.add(new OrdersEffect.Announce(upstream, true));
        return state.withProgress(upstream, progress.announced(nowMillis));
    }

    private static OrdersState drain(
            OrdersState state, OrderTarget target, EngineView view, List<OrdersEffect> effects, long nowMillis) {
        OrdersState draining = state.withProgress(
                target.upstream(), state.progressOf(target.upstream()).drainingSince(nowMillis));
        return order(draining, target, view, true, effects, nowMillis);
    }

    private static boolean mayTakeOut(OrdersState state, UpstreamId upstream) {
        long out = state.targets().keySet().stream()
                .filter(other -> !other.equals(upstream) && isOut(state, other))
                .count();
        int allowed = (int) (state.limits().unavailableShare() * state.targets().size());
        return out < Math.max(1, allowed);
    }

    private static boolean isOut(OrdersState state, UpstreamId upstream) {
        EngineView view = state.views().get(upstream);
        boolean reportedOut = view == null || view.draining() || view.loading();
        return reportedOut || state.progressOf(upstream).announcedAtMillis() != EngineProgress.NEVER;
    }

    private static OrdersState load(
            OrdersState state, OrderTarget target, EngineView view, List<OrdersEffect> effects, long nowMillis) {
        UpstreamId upstream = target.upstream();
        EngineProgress progress = state.progressOf(upstream);
        // The first half of the lease is left for the command, the second half for the load.
        boolean slotUsable = progress.slot() != EngineProgress.NO_SLOT
                && nowMillis + state.limits().slotTtlMillis() / 2 < progress.slotUntilMillis();
        if (!slotUsable) {
            return askSlot(state, target, effects, nowMillis);
        }
        if (state.budgetBytes() < target.weightBytes()) {
            return state;
        }
        OrdersState paid = state.ticked(nowMillis, state.budgetBytes() - target.weightBytes());
        OrdersState ordered =
                paid.withProgress(upstream, paid.progressOf(upstream).ordered(nowMillis, true));
        effects.add(new OrdersEffect.Order(upstream, state.token(), target.model(), false));
        return ordered;
    }

    private static OrdersState askSlot(
            OrdersState state, OrderTarget target, List<OrdersEffect> effects, long nowMillis) {
        UpstreamId upstream = target.upstream();
        EngineProgress progress = state.progressOf(upstream);
        boolean asking = progress.slotAskedAtMillis() != EngineProgress.NEVER
                && nowMillis - progress.slotAskedAtMillis() < LEASE_ASK_MILLIS;
        boolean held = progress.slot() != EngineProgress.NO_SLOT && nowMillis < progress.slotUntilMillis();
        int slots = state.limits().loadsPerDataCentre();
        if (asking || held) {
            return state;
        }
        // Trying the slots in turn finds the free one without listing them.
        int slot = (int) Math.floorMod(nowMillis / LEASE_ASK_MILLIS + upstream.hashCode(), (long) slots);
        effects.add(new OrdersEffect.AskSlot(
                upstream, target.dataCentre(), slot, state.limits().slotTtlMillis()));
        return state.withProgress(upstream, progress.askedSlot(nowMillis));
    }

    private static OrdersState order(
            OrdersState state,
            OrderTarget target,
            EngineView view,
            boolean draining,
            List<OrdersEffect> effects,
            long nowMillis) {
        UpstreamId upstream = target.upstream();
        effects.add(new OrdersEffect.Order(upstream, state.token(), view.loaded(), draining));
        return state.withProgress(upstream, state.progressOf(upstream).ordered(nowMillis, false));
    }

    private static OrdersTransition result(OrdersState state, OrdersEffect... effects) {
        return new OrdersTransition(state, List.of(effects));
    }
}
