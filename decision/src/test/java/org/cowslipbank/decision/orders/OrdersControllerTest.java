package org.cowslipbank.decision.orders;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

final class OrdersControllerTest {
    private static final ModelRef V1 = new ModelRef("review", "v1", "");
    private static final ModelRef V2 = new ModelRef("review", "v2", "");
    private static final UpstreamId A = new UpstreamId("a");
    private static final DataCentreId DC = new DataCentreId("dc1");
    private static final OrderLimits LIMITS = new OrderLimits(2, 1e9, 1e9, 10_000, 2_000, 250, 0, 1.0);
    private static final long STEP_MILLIS = 250;

    private OrdersState state = OrdersController.start(LIMITS, 0);
    private long nowMillis;
    private final List<OrdersEffect> effects = new ArrayList<>();

    /** Failure guarded against: a paused controller resumes and acts on a lease that another node now holds. */
    @Example
    void pausedControllerSendsNoCommandUntilConfirmed() {
        setTarget(false, V2);
        confirmLeaseAndReport(new EngineView(A, V2, true, false, 0, 0));
        assert hasEffect(OrdersEffect.Order.class) : effects;
        nowMillis += 10_000;
        long beforePauseMillis = nowMillis - 9_900;
        tick();
        report(new EngineView(A, V2, true, false, 0, nowMillis));
        apply(new OrdersEvent.LeaseAnswer(true, 7, beforePauseMillis, 60_000));
        tick();
        assert !hasEffect(OrdersEffect.Order.class) : effects;
        apply(new OrdersEvent.LeaseAnswer(true, 7, nowMillis, 60_000));
        tick();
        assert hasEffect(OrdersEffect.Order.class) : effects;
    }

    /** Failure guarded against: an expired lease, or one that a newer controller holds, is still used. */
    @Example
    void expiredOrRejectedLeaseStopsCommands() {
        setTarget(false, V2);
        confirmLeaseAndReport(new EngineView(A, V2, true, false, 0, 0));
        apply(new OrdersEvent.Rejected(A, 7));
        report(new EngineView(A, V2, true, false, 0, nowMillis + STEP_MILLIS));
        tick();
        assert !hasEffect(OrdersEffect.Order.class) : effects;
        apply(new OrdersEvent.LeaseAnswer(true, 9, nowMillis, 700));
        for (int step = 0; step < 3; step++) {
            report(new EngineView(A, V2, true, false, 0, nowMillis + 1));
            tick();
            assert !hasEffect(OrdersEffect.Order.class) : effects;
        }
    }

    /** Failure guarded against: an engine that ignores tokens keeps the state set by a late command of an old controller. */
    @Example
    void lateCommandOfOldControllerIsUndone() {
        setTarget(false, V2);
        confirmLeaseAndReport(new EngineView(A, V2, false, false, 0, 0));
        assert !hasEffect(OrdersEffect.Order.class);
        report(new EngineView(A, V1, false, false, 0, nowMillis + 1));
        OrdersEffect.AskSlot ask = null;
        for (int step = 0; step < 3; step++) {
            tick();
            ask = hasEffect(OrdersEffect.AskSlot.class) ? firstEffect(OrdersEffect.AskSlot.class) : ask;
        }
        apply(new OrdersEvent.SlotAnswer(A, ask.slot(), true, nowMillis));
        tick();
        assert firstEffect(OrdersEffect.Order.class).model().equals(V2) : effects;
    }

    /** Failure guarded against: more than two weight loads run in a data centre, over all controllers. */
    @Example
    void atMostTwoLoadsRunInADataCentre() {
        int engines = 6;
        Map<Integer, UpstreamId> slots = new HashMap<>();
        Map<UpstreamId, Long> loadingUntil = new HashMap<>();
        List<OrderTarget> targets = new ArrayList<>();
        for (int number = 0; number < engines; number++) {
            targets.add(new OrderTarget(new UpstreamId("e" + number), DC, V2, 1e6, false));
        }
        apply(new OrdersEvent.Targets(targets));
        apply(new OrdersEvent.LeaseAnswer(true, 7, 0, 10_000_000));
        Map<UpstreamId, ModelRef> loaded = new HashMap<>();
        for (int step = 0; step < 400 && loaded.size() < engines; step++) {
            for (OrderTarget target : targets) {
                UpstreamId upstream = target.upstream();
                boolean loading = loadingUntil.getOrDefault(upstream, 0L) > nowMillis;
                if (loadingUntil.containsKey(upstream) && !loading) {
                    loaded.put(upstream, V2);
                }
                report(new EngineView(upstream, loaded.getOrDefault(upstream, V1), false, loading, 3, nowMillis));
                effects.stream()
                        .filter(OrdersEffect.ReleaseSlot.class::isInstance)
                        .forEach(effect -> slots.remove(((OrdersEffect.ReleaseSlot) effect).slot()));
            }
            tick();
            for (OrdersEffect effect : List.copyOf(effects)) {
                if (effect instanceof OrdersEffect.AskSlot ask) {
                    boolean held = slots.computeIfAbsent(ask.slot(), slot -> ask.upstream())
                            .equals(ask.upstream());
                    apply(new OrdersEvent.SlotAnswer(ask.upstream(), ask.slot(), held, nowMillis));
                }
                if (effect instanceof OrdersEffect.Order order) {
                    loadingUntil.put(order.upstream(), nowMillis + 700);
                }
            }
            long running = loadingUntil.values().stream()
                    .filter(until -> until > nowMillis)
                    .count();
            assert running <= 2 : running;
        }
        assert loaded.size() == engines : loaded;
    }

    /** Failure guarded against: scale-down interrupts a run, or retires an engine before its blocks are exported. */
    @Example
    void scaleDownDrainsThenExportsThenRetires() {
        setTarget(true, V1);
        confirmLeaseAndReport(new EngineView(A, V1, false, false, 4, 0));
        assert firstEffect(OrdersEffect.Announce.class).leaving() && !hasEffect(OrdersEffect.Order.class) : effects;
        tick();
        assert firstEffect(OrdersEffect.Order.class).draining();
        report(new EngineView(A, V1, true, false, 4, nowMillis + 1));
        tick();
        assert !hasEffect(OrdersEffect.Export.class);
        report(new EngineView(A, V1, true, false, 0, nowMillis + 1));
        tick();
        assert hasEffect(OrdersEffect.Export.class) && !hasEffect(OrdersEffect.Retire.class);
        apply(new OrdersEvent.Exported(A));
        tick();
        assert hasEffect(OrdersEffect.Retire.class);
    }

    /** Failure guarded against: a recorded transition cannot be replayed. */
    @Example
    void transitionsSurviveJson() throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        setTarget(false, V2);
        confirmLeaseAndReport(new EngineView(A, V2, true, false, 0, 0));
        OrdersInput input = new OrdersInput(state, new OrdersEvent.Tick(), nowMillis + STEP_MILLIS);
        OrdersInput read = mapper.readValue(mapper.writeValueAsString(input), OrdersInput.class);
        assert OrdersController.DECISION
                .function()
                .apply(read)
                .equals(OrdersController.DECISION.function().apply(input));
    }

    private void setTarget(boolean retire, ModelRef model) {
        apply(new OrdersEvent.Targets(List.of(new OrderTarget(A, DC, model, 1e6, retire))));
    }

    private void confirmLeaseAndReport(EngineView view) {
        apply(new OrdersEvent.LeaseAnswer(true, 7, nowMillis, 60_000));
        report(view);
        tick();
    }

    private void report(EngineView view) {
        apply(new OrdersEvent.Observed(view));
    }

    private void tick() {
        nowMillis += STEP_MILLIS;
        apply(new OrdersEvent.Tick());
    }

    private void apply(OrdersEvent event) {
        OrdersTransition transition = OrdersController.on(state, event, nowMillis);
        state = transition.state();
        effects.clear();
        effects.addAll(transition.effects());
    }

    private boolean hasEffect(Class<? extends OrdersEffect> type) {
        return effects.stream().anyMatch(type::isInstance);
    }

    private <T extends OrdersEffect> T firstEffect(Class<T> type) {
        return effects.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError(type.getSimpleName() + " expected, was " + effects));
    }
}
