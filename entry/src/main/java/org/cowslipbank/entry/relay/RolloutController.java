package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.decision.relay.NamedVersions;
import org.cowslipbank.decision.relay.UpstreamNotices;
import org.cowslipbank.decision.relay.VersionRollout;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CommandOutcome;
import org.cowslipbank.ports.relay.EngineControl.VersionCommand;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.RelaySettings;

/** Rolls named weight versions out to the engines while this node is the leader. Runs on the control thread. */
final class RolloutController {
    private static final long TICK_INTERVAL_MILLIS = 60;

    private final ControlContext context;
    private final NodeLease lease;
    private final EngineControl engines;
    private final UpstreamNotices notices;
    private final long orderTurnMillis;
    private final long versionMillis;
    private final Map<String, VersionRollout> rollouts = new HashMap<>();
    private boolean announcing;

    RolloutController(
            ControlContext context,
            NodeLease lease,
            EngineControl engines,
            UpstreamNotices notices,
            RelaySettings.Bounds bounds) {
        this.context = context;
        this.lease = lease;
        this.engines = engines;
        this.notices = notices;
        this.orderTurnMillis = bounds.orderTurnMillis();
        this.versionMillis = bounds.versionMillis();
    }

    void start() {
        context.control()
                .schedulePeriodically(
                        new GuardedTask("rollout", this::tick, context.log()),
                        TICK_INTERVAL_MILLIS,
                        TICK_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private boolean mayOrder() {
        Optional<LeaderLease> leaderLease = lease.leaderLease();
        return leaderLease.isPresent()
                && leaderLease.get().maySendOrder(context.clocks().now(), orderTurnMillis);
    }

    private void tick() {
        if (!mayOrder()) {
            rollouts.clear();
            return;
        }
        PlatformView platform = context.view().get();
        Set<String> enginesToSwitch = new TreeSet<>();
        for (NamedVersions names : platform.versions().values()) {
            VersionRollout rollout = rollouts.computeIfAbsent(names.model(), key -> new VersionRollout());
            List<VersionRollout.Effect> effects = rollout.tick(
                    names,
                    enginesOf(platform, names.model()),
                    platform.switchingEngines(),
                    versionMillis,
                    context.clocks().nowMillis());
            enginesToSwitch.addAll(rollout.enginesToAnnounce());
            effects.forEach(effect -> execute(effect, names.model(), rollout));
        }
        if (!enginesToSwitch.equals(platform.switchingEngines()) && !announcing) {
            announce(enginesToSwitch);
        }
    }

    private List<UpstreamServer> enginesOf(PlatformView platform, String model) {
        List<UpstreamServer> found = new ArrayList<>();
        for (UpstreamServer server : platform.servers().values()) {
            if (!server.draining()
                    && !notices.isLeaving(server.incarnation())
                    && server.versionByModel().containsKey(model)) {
                found.add(server);
            }
        }
        return found;
    }

    private void announce(Set<String> enginesToSwitch) {
        announcing = true;
        context.log().logState(LogFields.event("engines to switch announced").field("servers", enginesToSwitch));
        byte[] value = NodeItems.encodeRollout(new NodeItems.RolloutAnnouncement(lease.leaderId(), enginesToSwitch));
        context.store()
                .write(new MetadataStore.Write(context.items().rolloutKey(), value, 0))
                .publishOn(context.control())
                .doFinally(signal -> announcing = false)
                .subscribe(revision -> {}, error -> context.log()
                        .logState(LogFields.event("engines to switch not announced; the next tick repeats it")
                                .error(error)));
    }

    private void execute(VersionRollout.Effect effect, String model, VersionRollout rollout) {
        if (effect instanceof VersionRollout.Effect.ReadState read) {
            readReport(read.server(), model, rollout);
        } else if (effect instanceof VersionRollout.Effect.Order order) {
            order(order, rollout);
        }
    }

    private void readReport(UpstreamServer server, String model, VersionRollout rollout) {
        engines.report(server.address())
                .publishOn(context.control())
                .subscribe(report -> rollout.onReport(server, engineState(report, model)), error -> context.log()
                        .logState(LogFields.event("cannot read report of engine")
                                .peer(server.address())
                                .error(error)));
    }

    private static VersionRollout.EngineState engineState(EngineControl.Report report, String model) {
        return new VersionRollout.EngineState(
                report.versionByModel().getOrDefault(model, -1L),
                report.executingOrder(),
                report.acceptedOrders(),
                report.running() + report.queued());
    }

    private void order(VersionRollout.Effect.Order order, VersionRollout rollout) {
        // Checked again just before the send, because the lease may have ended since this tick began.
        if (!mayOrder()) {
            return;
        }
        VersionCommand sent = new VersionCommand(
                order.server().id(),
                order.model(),
                order.version(),
                context.self().name(),
                lease.fencingToken(),
                order.expectedOrders(),
                order.keepsRuns());
        engines.sendCommand(order.server().address(), sent)
                .publishOn(context.control())
                .subscribe(outcome -> onOutcome(outcome, order, rollout), error -> onOrderError(error, order));
    }

    private void onOutcome(CommandOutcome outcome, VersionRollout.Effect.Order order, VersionRollout rollout) {
        context.log().logState(describe("order given", order).field("outcome", outcome));
        if (outcome != CommandOutcome.ACCEPTED) {
            rollout.onRejected(order.server());
        }
    }

    // The engine may still carry the order out; its reports show whether it does.
    private void onOrderError(Throwable error, VersionRollout.Effect.Order order) {
        context.log().logState(describe("order's outcome unknown", order).error(error));
    }

    private LogFields describe(String event, VersionRollout.Effect.Order order) {
        return LogFields.event(event)
                .peer(order.server().address())
                .field("server", order.server().id())
                .field("model", order.model())
                .field("version", order.version())
                .field("fencingToken", lease.fencingToken())
                .field("expectedOrders", order.expectedOrders())
                .field("keepsRuns", order.keepsRuns());
    }
}
