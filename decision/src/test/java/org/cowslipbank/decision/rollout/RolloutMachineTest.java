package org.cowslipbank.decision.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

final class RolloutMachineTest {
    private static final ModelRef V1 = new ModelRef("review", "v1", "");
    private static final ModelRef V2 = new ModelRef("review", "v2", "");
    private static final UpstreamId A = new UpstreamId("a");
    private static final DataCentreId DC = new DataCentreId("dc1");
    private static final RolloutLimits LIMITS = new RolloutLimits(2, 1e9, 1e9, 10_000, 2_000, 250, 0, 1.0);
    private static final long STEP_MILLIS = 250;

    private RolloutState state = RolloutMachine.initialState(LIMITS, 0);
    private long nowMillis;
    private final List<RolloutEffect> effects = new ArrayList<>();

    /** Failure guarded against: a paused controller resumes and acts on a lease that another node now holds. */
    @Example
    void pausedControllerSendsNoCommandUntilConfirmed() {
        setTarget(false, V2);
        confirmLeaseAndReport(new EngineReport(A, V2, true, false, 0, 0));
        assert hasEffect(RolloutEffect.Command.class) : effects;
        nowMillis += 10_000;
        long beforePauseMillis = nowMillis - 9_900;
        tick();
        report(new EngineReport(A, V2, true, false, 0, nowMillis));
        apply(new RolloutEvent.LeaseAnswer(true, 7, beforePauseMillis, 60_000));
        tick();
        assert !hasEffect(RolloutEffect.Command.class) : effects;
        apply(new RolloutEvent.LeaseAnswer(true, 7, nowMillis, 60_000));
        tick();
        assert hasEffect(RolloutEffect.Command.class) : effects;
    }

    /** Failure guarded against: an expired lease, or one that a newer controller holds, is still used. */
    @Example
    void expiredOrRejectedLeaseStopsCommands() {
        setTarget(false, V2);
        confirmLeaseAndReport(new EngineReport(A, V2, true, false, 0, 0));
        apply(new RolloutEvent.CommandRejected(A, 7));
        report(new EngineReport(A, V2, true, false, 0, nowMillis + STEP_MILLIS));
        tick();
        assert !hasEffect(RolloutEffect.Command.class) : effects;
        apply(new RolloutEvent.LeaseAnswer(true, 9, nowMillis, 700));
        for (int step = 0; step < 3; step++) {
            report(new EngineReport(A, V2, true, false, 0, nowMillis + 1));
            tick();
            assert !hasEffect(RolloutEffect.Command.class) : effects;
        }
    }

    /** Failure guarded against: an engine that ignores tokens keeps the state set by a late command of an old controller. */
    @Example
    void lateCommandOfOldControllerIsUndone() {
        setTarget(false, V2);
        confirmLeaseAndReport(new EngineReport(A, V2, false, false, 0, 0));
        assert !hasEffect(RolloutEffect.Command.class);
        report(new EngineReport(A, V1, false, false, 0, nowMillis + 1));
        RolloutEffect.RequestSlot ask = null;
        for (int step = 0; step < 3; step++) {
            tick();
            ask = hasEffect(RolloutEffect.RequestSlot.class) ? firstEffect(RolloutEffect.RequestSlot.class) : ask;
        }
        apply(new RolloutEvent.SlotAnswer(A, ask.slot(), true, nowMillis));
        tick();
        assert firstEffect(RolloutEffect.Command.class).model().equals(V2) : effects;
    }

    /** Failure guarded against: more than two weight loads run in a data centre, over all controllers. */
    @Example
    void atMostTwoLoadsRunInADataCentre() {
        int engines = 6;
        Map<Integer, UpstreamId> slots = new HashMap<>();
        Map<UpstreamId, Long> loadingUntil = new HashMap<>();
        List<EngineTarget> targets = new ArrayList<>();
        for (int number = 0; number < engines; number++) {
            targets.add(new EngineTarget(new UpstreamId("e" + number), DC, V2, 1e6, false));
        }
        apply(new RolloutEvent.Targets(targets));
        apply(new RolloutEvent.LeaseAnswer(true, 7, 0, 10_000_000));
        Map<UpstreamId, ModelRef> loaded = new HashMap<>();
        for (int step = 0; step < 400 && loaded.size() < engines; step++) {
            for (EngineTarget target : targets) {
                UpstreamId upstream = target.upstream();
                boolean loading = loadingUntil.getOrDefault(upstream, 0L) > nowMillis;
                if (loadingUntil.containsKey(upstream) && !loading) {
                    loaded.put(upstream, V2);
                }
                report(new EngineReport(upstream, loaded.getOrDefault(upstream, V1), false, loading, 3, nowMillis));
                effects.stream()
                        .filter(RolloutEffect.ReleaseSlot.class::isInstance)
                        .forEach(effect -> slots.remove(((RolloutEffect.ReleaseSlot) effect).slot()));
            }
            tick();
            for (RolloutEffect effect : List.copyOf(effects)) {
                if (effect instanceof RolloutEffect.RequestSlot ask) {
                    boolean held = slots.computeIfAbsent(ask.slot(), slot -> ask.upstream())
                            .equals(ask.upstream());
                    apply(new RolloutEvent.SlotAnswer(ask.upstream(), ask.slot(), held, nowMillis));
                }
                if (effect instanceof RolloutEffect.Command command) {
                    loadingUntil.put(command.upstream(), nowMillis + 700);
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
        confirmLeaseAndReport(new EngineReport(A, V1, false, false, 4, 0));
        assert firstEffect(RolloutEffect.Announce.class).leaving() && !hasEffect(RolloutEffect.Command.class) : effects;
        tick();
        assert firstEffect(RolloutEffect.Command.class).draining();
        report(new EngineReport(A, V1, true, false, 4, nowMillis + 1));
        tick();
        assert !hasEffect(RolloutEffect.Export.class);
        report(new EngineReport(A, V1, true, false, 0, nowMillis + 1));
        tick();
        assert hasEffect(RolloutEffect.Export.class) && !hasEffect(RolloutEffect.Retire.class);
        apply(new RolloutEvent.Exported(A));
        tick();
        assert hasEffect(RolloutEffect.Retire.class);
    }

    /** Failure guarded against: a recorded transition cannot be replayed. */
    @Example
    void transitionsSurviveJson() throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        setTarget(false, V2);
        confirmLeaseAndReport(new EngineReport(A, V2, true, false, 0, 0));
        RolloutInput input = new RolloutInput(state, new RolloutEvent.Tick(), nowMillis + STEP_MILLIS);
        RolloutInput read = mapper.readValue(mapper.writeValueAsString(input), RolloutInput.class);
        assert RolloutMachine.DECISION
                .function()
                .apply(read)
                .equals(RolloutMachine.DECISION.function().apply(input));
    }

    private void setTarget(boolean retire, ModelRef model) {
        apply(new RolloutEvent.Targets(List.of(new EngineTarget(A, DC, model, 1e6, retire))));
    }

    private void confirmLeaseAndReport(EngineReport view) {
        apply(new RolloutEvent.LeaseAnswer(true, 7, nowMillis, 60_000));
        report(view);
        tick();
    }

    private void report(EngineReport view) {
        apply(new RolloutEvent.ReportReceived(view));
    }

    private void tick() {
        nowMillis += STEP_MILLIS;
        apply(new RolloutEvent.Tick());
    }

    private void apply(RolloutEvent event) {
        RolloutTransition transition = RolloutMachine.apply(state, event, nowMillis);
        state = transition.state();
        effects.clear();
        effects.addAll(transition.effects());
    }

    private boolean hasEffect(Class<? extends RolloutEffect> type) {
        return effects.stream().anyMatch(type::isInstance);
    }

    private <T extends RolloutEffect> T firstEffect(Class<T> type) {
        return effects.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .findFirst()
                .orElseThrow(() -> new AssertionError(type.getSimpleName() + " expected, was " + effects));
    }
}
