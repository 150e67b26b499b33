package org.cowslipbank.bench.virtual;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.decision.rollout.EngineReport;
import org.cowslipbank.decision.rollout.EngineTarget;
import org.cowslipbank.decision.rollout.RolloutEffect;
import org.cowslipbank.decision.rollout.RolloutEvent;
import org.cowslipbank.decision.rollout.RolloutLimits;
import org.cowslipbank.decision.rollout.RolloutMachine;
import org.cowslipbank.decision.rollout.RolloutState;
import org.cowslipbank.decision.rollout.RolloutTransition;
import org.cowslipbank.model.UpstreamId;

/** Drives the order decisions of one controller. Its leader lease is always granted; the load slots are shared. */
public final class SimController {
    private static final long TICK_MILLIS = 200;
    private static final long LEASE_TTL_MILLIS = 5_000;
    private static final long EXPORT_MILLIS = 300;

    private final SimulatedDeployment deployment;
    private final Map<String, Slot> slots;
    private RolloutState state;

    private record Slot(UpstreamId holder, long expiresAtMillis) {}

    /** Load slots, which limit concurrent weight loads and are shared by several controllers. */
    public static final class LoadSlots {
        private final Map<String, Slot> held = new HashMap<>();
    }

    /**
     * Creates and starts a controller.
     *
     * @param deployment the simulated deployment
     * @param limits limits on loads and orders
     * @param slots the load slots
     */
    public SimController(SimulatedDeployment deployment, RolloutLimits limits, LoadSlots slots) {
        this.deployment = deployment;
        this.slots = slots.held;
        this.state = RolloutMachine.initialState(limits, deployment.clock.nowMillis());
        deployment.clock.every(TICK_MILLIS, () -> apply(new RolloutEvent.Tick()));
    }

    /**
     * Sets what each engine shall run.
     *
     * @param targets the targets of all engines of the group
     */
    public void setTargets(List<EngineTarget> targets) {
        apply(new RolloutEvent.Targets(targets));
    }

    private void apply(RolloutEvent event) {
        RolloutTransition transition = RolloutMachine.apply(state, event, deployment.clock.nowMillis());
        state = transition.state();
        transition.effects().forEach(this::execute);
    }

    private void execute(RolloutEffect effect) {
        long askedMillis = deployment.clock.nowMillis();
        if (effect instanceof RolloutEffect.RequestLease) {
            afterLatency(() -> apply(new RolloutEvent.LeaseAnswer(true, 1, askedMillis, LEASE_TTL_MILLIS)));
        } else if (effect instanceof RolloutEffect.Announce announce) {
            deployment.announce(announce.upstream(), announce.leaving());
        } else if (effect instanceof RolloutEffect.ReadState read) {
            afterLatency(() -> observe(deployment.engine(read.upstream()), askedMillis));
        } else if (effect instanceof RolloutEffect.Command command) {
            afterLatency(() -> {
                deployment.engine(command.upstream()).order(command.model(), command.draining());
                observe(deployment.engine(command.upstream()), deployment.clock.nowMillis());
            });
        } else if (effect instanceof RolloutEffect.RequestSlot ask) {
            afterLatency(() -> askSlot(ask, askedMillis));
        } else if (effect instanceof RolloutEffect.ReleaseSlot release) {
            slots.remove(release.dataCentre() + "/" + release.slot());
        } else if (effect instanceof RolloutEffect.Export export) {
            deployment.clock.after(EXPORT_MILLIS, () -> apply(new RolloutEvent.Exported(export.upstream())));
        } else if (effect instanceof RolloutEffect.Retire retire) {
            afterLatency(() -> deployment.engine(retire.upstream()).retire());
        }
    }

    private void observe(SimEngine engine, long askedMillis) {
        if (engine.alive) {
            apply(new RolloutEvent.ReportReceived(new EngineReport(
                    engine.id, engine.loaded, engine.draining, engine.loading, engine.inFlight(), askedMillis)));
        }
    }

    private void askSlot(RolloutEffect.RequestSlot ask, long askedMillis) {
        String name = ask.dataCentre() + "/" + ask.slot();
        Slot current = slots.get(name);
        boolean granted = current == null || current.expiresAtMillis() <= deployment.clock.nowMillis();
        if (granted) {
            slots.put(name, new Slot(ask.upstream(), deployment.clock.nowMillis() + ask.ttlMillis()));
        }
        apply(new RolloutEvent.SlotAnswer(ask.upstream(), ask.slot(), granted, askedMillis));
    }

    private void afterLatency(Runnable action) {
        deployment.clock.after(SimulatedDeployment.LATENCY_MILLIS, action);
    }
}
