package org.cowslipbank.entry.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.decision.rollout.EngineReport;
import org.cowslipbank.decision.rollout.EngineTarget;
import org.cowslipbank.decision.rollout.RolloutEffect;
import org.cowslipbank.decision.rollout.RolloutEvent;
import org.cowslipbank.decision.rollout.RolloutLimits;
import org.cowslipbank.decision.rollout.RolloutMachine;
import org.cowslipbank.decision.rollout.RolloutState;
import org.cowslipbank.decision.rollout.RolloutTransition;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.ports.Engine;
import org.cowslipbank.ports.EngineCommand;
import org.cowslipbank.ports.EngineLoad;
import org.cowslipbank.ports.EngineRole;
import org.cowslipbank.ports.Lease;
import reactor.core.publisher.Mono;

/** Carries out the effects of one model group's controller. Runs on the control thread only, replies included. */
final class ModelController {
    private static final Logger LOG = LogManager.getLogger(ModelController.class);
    private static final long LEASE_TTL_MILLIS = 6_000;
    // Longer than a weight load may take.
    private static final long SLOT_TTL_MILLIS = 60_000;
    // A command that the engine's state does not show within this time is sent again.
    private static final long ORDER_PENDING_MILLIS = 3_000;
    // Time for nodes to learn that an engine leaves, so that none sends it work that it refuses.
    private static final long ANNOUNCE_MILLIS = 1_000;
    // Runs continue while an engine loads weights, so a version change does not wait for a drain.
    private static final long DRAIN_MILLIS = 0;
    private static final int CONCURRENT_LOADS_PER_DATA_CENTRE = 2;
    private static final double MAX_UNAVAILABLE_SHARE = 0.5;
    // No setting limits the weight store's rate yet; only the number of concurrent loads is limited.
    private static final double UNLIMITED_BYTES = 1e15;
    private static final RolloutLimits LIMITS = new RolloutLimits(
            CONCURRENT_LOADS_PER_DATA_CENTRE,
            UNLIMITED_BYTES,
            UNLIMITED_BYTES,
            SLOT_TTL_MILLIS,
            ORDER_PENDING_MILLIS,
            ANNOUNCE_MILLIS,
            DRAIN_MILLIS,
            MAX_UNAVAILABLE_SHARE);

    private final String model;
    private final RolloutContext context;
    private final Map<String, Long> slotTokens = new HashMap<>();
    private RolloutState state;
    private List<EngineTarget> targets = List.of();

    ModelController(String model, RolloutContext context) {
        this.model = model;
        this.context = context;
        this.state = RolloutMachine.initialState(LIMITS, context.clock().nowMillis());
    }

    void tick(List<EngineTarget> newTargets) {
        if (!newTargets.equals(targets)) {
            targets = newTargets;
            apply(new RolloutEvent.Targets(newTargets));
        }
        apply(new RolloutEvent.Tick());
    }

    private void apply(RolloutEvent event) {
        RolloutTransition transition =
                RolloutMachine.apply(state, event, context.clock().nowMillis());
        state = transition.state();
        transition.effects().forEach(this::execute);
    }

    private void execute(RolloutEffect effect) {
        long askedAtMillis = context.clock().nowMillis();
        if (effect instanceof RolloutEffect.RequestLease) {
            onReply(
                    context.store().acquireLease("orders/" + model, holder(), LEASE_TTL_MILLIS),
                    lease -> apply(toLeaseAnswer(lease, askedAtMillis)));
        } else if (effect instanceof RolloutEffect.Announce announce) {
            context.announcer().announce(announce.upstream(), announce.leaving());
        } else if (effect instanceof RolloutEffect.ReadState read) {
            onReply(
                    engine(read.upstream()).flatMap(Engine::load),
                    load -> applyObservation(read.upstream(), load, askedAtMillis));
        } else if (effect instanceof RolloutEffect.RequestSlot ask) {
            askSlot(ask, askedAtMillis);
        } else if (effect instanceof RolloutEffect.ReleaseSlot release) {
            releaseSlot(release);
        } else if (effect instanceof RolloutEffect.Command command) {
            sendCommand(command);
        } else if (effect instanceof RolloutEffect.Export export) {
            // Blocks are exported after each run, so nothing is left to export after the last one.
            apply(new RolloutEvent.Exported(export.upstream()));
        } else if (effect instanceof RolloutEffect.Retire retire) {
            LOG.info(logEvent("engine may be retired", retire.upstream()));
        }
    }

    private String holder() {
        return context.self().value();
    }

    private RolloutEvent toLeaseAnswer(Lease lease, long askedAtMillis) {
        boolean held = lease.holder().equals(holder());
        return new RolloutEvent.LeaseAnswer(held, lease.fencingToken(), askedAtMillis, lease.ttlMillis());
    }

    private void applyObservation(UpstreamId upstream, EngineLoad load, long askedAtMillis) {
        boolean draining = load.role() == EngineRole.DRAINING;
        int inFlight = load.running() + load.waiting();
        apply(new RolloutEvent.ReportReceived(
                new EngineReport(upstream, load.loaded(), draining, load.loading(), inFlight, askedAtMillis)));
    }

    private void askSlot(RolloutEffect.RequestSlot ask, long askedAtMillis) {
        String name = "loads/" + ask.dataCentre() + "/" + ask.slot();
        String slotHolder = ask.upstream().value();
        onReply(context.store().acquireLease(name, slotHolder, ask.ttlMillis()), lease -> {
            boolean held = lease.holder().equals(slotHolder);
            if (held) {
                slotTokens.put(name, lease.fencingToken());
            }
            apply(new RolloutEvent.SlotAnswer(ask.upstream(), ask.slot(), held, askedAtMillis));
        });
    }

    private void releaseSlot(RolloutEffect.ReleaseSlot release) {
        String name = "loads/" + release.dataCentre() + "/" + release.slot();
        Long token = slotTokens.remove(name);
        if (token != null) {
            context.store().releaseLease(name, token).subscribe(done -> {}, error -> {});
        }
    }

    private void sendCommand(RolloutEffect.Command command) {
        EngineRole role = command.draining() ? EngineRole.DRAINING : EngineRole.SERVING;
        LOG.info(logEvent("command to engine", command.upstream())
                .field("weightVersion", command.model().weightVersion())
                .field("role", role)
                .field("fencingToken", command.token()));
        EngineCommand engineCommand = new EngineCommand(command.token(), command.model(), role);
        onReply(engine(command.upstream()).flatMap(engine -> engine.sendCommand(engineCommand)), answer -> {
            if (!answer.accepted()) {
                apply(new RolloutEvent.CommandRejected(command.upstream(), command.token()));
            }
        });
    }

    private Mono<Engine> engine(UpstreamId upstream) {
        return Mono.justOrEmpty(context.configuration().get().upstream(upstream))
                .map(found -> context.systems().engine(found.address()));
    }

    private <T> void onReply(Mono<T> call, Consumer<T> handler) {
        call.publishOn(context.control())
                .subscribe(
                        handler,
                        error -> LOG.debug("controller of model {}: call failed: {}", model, error.toString()));
    }

    private LogFields logEvent(String event, UpstreamId upstream) {
        return LogFields.event(event)
                .step(ProcessingStep.ORDER)
                .peer(upstream.value())
                .field("model", model);
    }
}
