package org.cowslipbank.entry.orders;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.decision.orders.EngineView;
import org.cowslipbank.decision.orders.OrderLimits;
import org.cowslipbank.decision.orders.OrderTarget;
import org.cowslipbank.decision.orders.OrdersController;
import org.cowslipbank.decision.orders.OrdersEffect;
import org.cowslipbank.decision.orders.OrdersEvent;
import org.cowslipbank.decision.orders.OrdersState;
import org.cowslipbank.decision.orders.OrdersTransition;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.Step;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.ports.Engine;
import org.cowslipbank.ports.EngineLoad;
import org.cowslipbank.ports.EngineOrder;
import org.cowslipbank.ports.EngineRole;
import org.cowslipbank.ports.Lease;
import reactor.core.publisher.Mono;

/** The controller of one model group. Only the control thread calls it; answers come back through that thread. */
final class ModelController {
    private static final Logger LOG = LogManager.getLogger(ModelController.class);
    private static final long LEASE_TTL_MILLIS = 6_000;
    private static final long EVERY_SLOT_TTL_MILLIS = 60_000;
    private static final long PENDING_MILLIS = 3_000;
    private static final long ANNOUNCE_MILLIS = 1_000;
    // Runs go on while an engine loads, so a version change does not wait for a drain.
    private static final long DRAIN_MILLIS = 0;
    private static final int LOADS_PER_DATA_CENTRE = 2;
    private static final double UNAVAILABLE_SHARE = 0.5;
    // The weight store's rate is not configured yet; only the number of concurrent loads is limited.
    private static final double UNLIMITED_BYTES = 1e15;
    private static final OrderLimits LIMITS = new OrderLimits(
            LOADS_PER_DATA_CENTRE,
            UNLIMITED_BYTES,
            UNLIMITED_BYTES,
            EVERY_SLOT_TTL_MILLIS,
            PENDING_MILLIS,
            ANNOUNCE_MILLIS,
            DRAIN_MILLIS,
            UNAVAILABLE_SHARE);

    private final String model;
    private final OrdersContext context;
    private final Map<String, Long> slotTokens = new HashMap<>();
    private OrdersState state;
    private List<OrderTarget> targets = List.of();

    ModelController(String model, OrdersContext context) {
        this.model = model;
        this.context = context;
        this.state = OrdersController.start(LIMITS, context.clock().nowMillis());
    }

    void tick(List<OrderTarget> wanted) {
        if (!wanted.equals(targets)) {
            targets = wanted;
            apply(new OrdersEvent.Targets(wanted));
        }
        apply(new OrdersEvent.Tick());
    }

    private void apply(OrdersEvent event) {
        OrdersTransition transition =
                OrdersController.on(state, event, context.clock().nowMillis());
        state = transition.state();
        transition.effects().forEach(this::carryOut);
    }

    private void carryOut(OrdersEffect effect) {
        long askedMillis = context.clock().nowMillis();
        if (effect instanceof OrdersEffect.AskLease) {
            then(
                    context.store().acquireLease("orders/" + model, holder(), LEASE_TTL_MILLIS),
                    lease -> apply(leaseAnswer(lease, askedMillis)));
        } else if (effect instanceof OrdersEffect.Announce announce) {
            context.announcer().announce(announce.upstream(), announce.leaving());
        } else if (effect instanceof OrdersEffect.ReadState read) {
            then(engine(read.upstream()).flatMap(Engine::load), load -> observed(read.upstream(), load, askedMillis));
        } else if (effect instanceof OrdersEffect.AskSlot ask) {
            askSlot(ask, askedMillis);
        } else if (effect instanceof OrdersEffect.ReleaseSlot release) {
            releaseSlot(release);
        } else if (effect instanceof OrdersEffect.Order order) {
            order(order);
        } else if (effect instanceof OrdersEffect.Export export) {
            // Blocks are exported after each run, so nothing is left to export when the last run has ended.
            apply(new OrdersEvent.Exported(export.upstream()));
        } else if (effect instanceof OrdersEffect.Retire retire) {
            LOG.info(event("engine may be retired", retire.upstream()));
        }
    }

    private String holder() {
        return context.self().value();
    }

    private OrdersEvent leaseAnswer(Lease lease, long askedMillis) {
        boolean held = lease.holder().equals(holder());
        return new OrdersEvent.LeaseAnswer(held, lease.fencingToken(), askedMillis, lease.ttlMillis());
    }

    private void observed(UpstreamId upstream, EngineLoad load, long askedMillis) {
        boolean draining = load.role() == EngineRole.DRAINING;
        int inFlight = load.running() + load.waiting();
        apply(new OrdersEvent.Observed(
                new EngineView(upstream, load.loaded(), draining, load.loading(), inFlight, askedMillis)));
    }

    private void askSlot(OrdersEffect.AskSlot ask, long askedMillis) {
        String name = "loads/" + ask.dataCentre() + "/" + ask.slot();
        String slotHolder = ask.upstream().value();
        then(context.store().acquireLease(name, slotHolder, ask.ttlMillis()), lease -> {
            boolean held = lease.holder().equals(slotHolder);
            if (held) {
                slotTokens.put(name, lease.fencingToken());
            }
            apply(new OrdersEvent.SlotAnswer(ask.upstream(), ask.slot(), held, askedMillis));
        });
    }

    private void releaseSlot(OrdersEffect.ReleaseSlot release) {
        String name = "loads/" + release.dataCentre() + "/" + release.slot();
        Long token = slotTokens.remove(name);
        if (token != null) {
            context.store().releaseLease(name, token).subscribe(done -> {}, error -> {});
        }
    }

    private void order(OrdersEffect.Order order) {
        EngineRole role = order.draining() ? EngineRole.DRAINING : EngineRole.SERVING;
        LOG.info(event("command to engine", order.upstream())
                .field("weightVersion", order.model().weightVersion())
                .field("role", role)
                .field("fencingToken", order.token()));
        EngineOrder command = new EngineOrder(order.token(), order.model(), role);
        then(engine(order.upstream()).flatMap(engine -> engine.order(command)), answer -> {
            if (!answer.accepted()) {
                apply(new OrdersEvent.Rejected(order.upstream(), order.token()));
            }
        });
    }

    private Mono<Engine> engine(UpstreamId upstream) {
        return Mono.justOrEmpty(context.configuration().get().upstream(upstream))
                .map(found -> context.systems().engine(found.address()));
    }

    private <T> void then(Mono<T> call, Consumer<T> next) {
        call.publishOn(context.control())
                .subscribe(
                        next, error -> LOG.debug("call of the controller of {} failed: {}", model, error.toString()));
    }

    private LogFields event(String what, UpstreamId upstream) {
        return LogFields.event(what).step(Step.ORDER).peer(upstream.value()).field("model", model);
    }
}
