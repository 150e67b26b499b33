package org.cowslipbank.bench.virtual;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.cowslipbank.decision.orders.EngineView;
import org.cowslipbank.decision.orders.OrderLimits;
import org.cowslipbank.decision.orders.OrderTarget;
import org.cowslipbank.decision.orders.OrdersController;
import org.cowslipbank.decision.orders.OrdersEffect;
import org.cowslipbank.decision.orders.OrdersEvent;
import org.cowslipbank.decision.orders.OrdersState;
import org.cowslipbank.decision.orders.OrdersTransition;
import org.cowslipbank.model.UpstreamId;

/** Drives the commands of one controller; the lease is always granted to it, the load slots are shared. */
public final class SimController {
    private static final long TICK_MILLIS = 200;
    private static final long LEASE_TTL_MILLIS = 5_000;
    private static final long EXPORT_MILLIS = 300;

    private final World world;
    private final Map<String, Slot> slots;
    private OrdersState state;

    private record Slot(UpstreamId holder, long untilMillis) {}

    /** Load slots of the platform, shared by several controllers. */
    public static final class Slots {
        private final Map<String, Slot> held = new HashMap<>();
    }

    /**
     * Creates a controller and starts it.
     *
     * @param world the world
     * @param limits the limits
     * @param slots the load slots
     */
    public SimController(World world, OrderLimits limits, Slots slots) {
        this.world = world;
        this.slots = slots.held;
        this.state = OrdersController.start(limits, world.clock.nowMillis());
        world.clock.every(TICK_MILLIS, () -> apply(new OrdersEvent.Tick()));
    }

    /**
     * Sets the targets.
     *
     * @param targets the targets of all engines of the group
     */
    public void targets(List<OrderTarget> targets) {
        apply(new OrdersEvent.Targets(targets));
    }

    private void apply(OrdersEvent event) {
        OrdersTransition transition = OrdersController.on(state, event, world.clock.nowMillis());
        state = transition.state();
        transition.effects().forEach(this::carryOut);
    }

    private void carryOut(OrdersEffect effect) {
        long askedMillis = world.clock.nowMillis();
        if (effect instanceof OrdersEffect.AskLease) {
            later(() -> apply(new OrdersEvent.LeaseAnswer(true, 1, askedMillis, LEASE_TTL_MILLIS)));
        } else if (effect instanceof OrdersEffect.Announce announce) {
            world.announce(announce.upstream(), announce.leaving());
        } else if (effect instanceof OrdersEffect.ReadState read) {
            later(() -> observe(world.engine(read.upstream()), askedMillis));
        } else if (effect instanceof OrdersEffect.Order order) {
            later(() -> {
                world.engine(order.upstream()).order(order.model(), order.draining());
                observe(world.engine(order.upstream()), world.clock.nowMillis());
            });
        } else if (effect instanceof OrdersEffect.AskSlot ask) {
            later(() -> askSlot(ask, askedMillis));
        } else if (effect instanceof OrdersEffect.ReleaseSlot release) {
            slots.remove(release.dataCentre() + "/" + release.slot());
        } else if (effect instanceof OrdersEffect.Export export) {
            world.clock.after(EXPORT_MILLIS, () -> apply(new OrdersEvent.Exported(export.upstream())));
        } else if (effect instanceof OrdersEffect.Retire retire) {
            later(() -> world.engine(retire.upstream()).retire());
        }
    }

    private void observe(SimEngine engine, long askedMillis) {
        if (engine.alive) {
            apply(new OrdersEvent.Observed(new EngineView(
                    engine.id, engine.loaded, engine.draining, engine.loading, engine.inFlight(), askedMillis)));
        }
    }

    private void askSlot(OrdersEffect.AskSlot ask, long askedMillis) {
        String name = ask.dataCentre() + "/" + ask.slot();
        Slot current = slots.get(name);
        boolean held = current == null || current.untilMillis() <= world.clock.nowMillis();
        if (held) {
            slots.put(name, new Slot(ask.upstream(), world.clock.nowMillis() + ask.ttlMillis()));
        }
        apply(new OrdersEvent.SlotAnswer(ask.upstream(), ask.slot(), held, askedMillis));
    }

    private void later(Runnable action) {
        world.clock.after(World.LATENCY_MILLIS, action);
    }
}
