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

/** Drives the order decisions of one controller. Its leader lease is always granted; the load slots are shared. */
public final class SimController {
    private static final long TICK_MILLIS = 200;
    private static final long LEASE_TTL_MILLIS = 5_000;
    private static final long EXPORT_MILLIS = 300;

    private final World world;
    private final Map<String, Slot> slots;
    private OrdersState state;

    private record Slot(UpstreamId holder, long expiresAtMillis) {}

    /** Load slots, which limit concurrent weight loads and are shared by several controllers. */
    public static final class Slots {
        private final Map<String, Slot> held = new HashMap<>();
    }

    /**
     * Creates and starts a controller.
     *
     * @param world the simulated deployment
     * @param limits limits on loads and orders
     * @param slots the load slots
     */
    public SimController(World world, OrderLimits limits, Slots slots) {
        this.world = world;
        this.slots = slots.held;
        this.state = OrdersController.start(limits, world.clock.nowMillis());
        world.clock.every(TICK_MILLIS, () -> apply(new OrdersEvent.Tick()));
    }

    /**
     * Sets what each engine shall run.
     *
     * @param targets the targets of all engines of the group
     */
    public void targets(List<OrderTarget> targets) {
        apply(new OrdersEvent.Targets(targets));
    }

    private void apply(OrdersEvent event) {
        OrdersTransition transition = OrdersController.on(state, event, world.clock.nowMillis());
        state = transition.state();
        transition.effects().forEach(this::execute);
    }

    private void execute(OrdersEffect effect) {
        long askedMillis = world.clock.nowMillis();
        if (effect instanceof OrdersEffect.AskLease) {
            afterLatency(() -> apply(new OrdersEvent.LeaseAnswer(true, 1, askedMillis, LEASE_TTL_MILLIS)));
        } else if (effect instanceof OrdersEffect.Announce announce) {
            world.announce(announce.upstream(), announce.leaving());
        } else if (effect instanceof OrdersEffect.ReadState read) {
            afterLatency(() -> observe(world.engine(read.upstream()), askedMillis));
        } else if (effect instanceof OrdersEffect.Order order) {
            afterLatency(() -> {
                world.engine(order.upstream()).order(order.model(), order.draining());
                observe(world.engine(order.upstream()), world.clock.nowMillis());
            });
        } else if (effect instanceof OrdersEffect.AskSlot ask) {
            afterLatency(() -> askSlot(ask, askedMillis));
        } else if (effect instanceof OrdersEffect.ReleaseSlot release) {
            slots.remove(release.dataCentre() + "/" + release.slot());
        } else if (effect instanceof OrdersEffect.Export export) {
            world.clock.after(EXPORT_MILLIS, () -> apply(new OrdersEvent.Exported(export.upstream())));
        } else if (effect instanceof OrdersEffect.Retire retire) {
            afterLatency(() -> world.engine(retire.upstream()).retire());
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
        boolean granted = current == null || current.expiresAtMillis() <= world.clock.nowMillis();
        if (granted) {
            slots.put(name, new Slot(ask.upstream(), world.clock.nowMillis() + ask.ttlMillis()));
        }
        apply(new OrdersEvent.SlotAnswer(ask.upstream(), ask.slot(), granted, askedMillis));
    }

    private void afterLatency(Runnable action) {
        world.clock.after(World.LATENCY_MILLIS, action);
    }
}
