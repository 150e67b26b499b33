package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.decision.relay.OrderTurn;
import org.cowslipbank.decision.relay.VersionRollout;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.NamedVersion;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.OrderOutcome;
import org.cowslipbank.ports.relay.EngineControl.VersionOrder;
import org.cowslipbank.ports.relay.MetadataStore;
import org.cowslipbank.ports.relay.RelaySettings;

/** Brings engines to named weight versions while this node holds the lease for orders. Runs on the control thread. */
final class VersionKeeper {
    private static final long TICK_MILLIS = 60;

    private final ControlParts parts;
    private final NodeLease lease;
    private final EngineControl engines;
    private final long turnMillis;
    private final long versionMillis;
    private final Map<String, VersionRollout> rollouts = new HashMap<>();
    private boolean announcing;

    VersionKeeper(ControlParts parts, NodeLease lease, EngineControl engines, RelaySettings.Bounds bounds) {
        this.parts = parts;
        this.lease = lease;
        this.engines = engines;
        this.turnMillis = bounds.orderTurnMillis();
        this.versionMillis = bounds.versionMillis();
    }

    void start() {
        parts.control().schedulePeriodically(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean mayOrder() {
        Optional<OrderTurn> turn = lease.turn();
        return turn.isPresent() && turn.get().mayOrder(parts.clocks().now(), turnMillis);
    }

    private void tick() {
        if (!mayOrder()) {
            rollouts.clear();
            return;
        }
        PlatformView now = parts.view().get();
        Set<String> wanted = new TreeSet<>();
        for (NamedVersion version : now.versions().values()) {
            VersionRollout rollout = rollouts.computeIfAbsent(version.model(), key -> new VersionRollout());
            List<UpstreamServer> serving = enginesOf(now, version.model());
            List<VersionRollout.Effect> effects = rollout.tick(
                    version.model(),
                    version.version(),
                    serving,
                    now.switching(),
                    version.seenAtMillis() + versionMillis - parts.clocks().nowMillis(),
                    parts.clocks().nowMillis());
            wanted.addAll(rollout.wanted());
            effects.forEach(effect -> carryOut(effect, version, rollout));
        }
        if (!wanted.equals(now.switching()) && !announcing) {
            announce(wanted);
        }
    }

    private static List<UpstreamServer> enginesOf(PlatformView view, String model) {
        List<UpstreamServer> found = new ArrayList<>();
        for (UpstreamServer server : view.servers().values()) {
            if (!server.draining() && server.versionByModel().containsKey(model)) {
                found.add(server);
            }
        }
        return found;
    }

    private void announce(Set<String> wanted) {
        announcing = true;
        parts.log().state(LogFields.event("engines to switch announced").field("servers", wanted));
        byte[] value = OwnItems.encodeRollout(new OwnItems.Rollout(lease.leaderValue(), wanted));
        parts.store()
                .write(new MetadataStore.Write(parts.items().rolloutKey(), value, 0))
                .publishOn(parts.control())
                .doFinally(signal -> announcing = false)
                .subscribe(revision -> {}, error -> parts.log()
                        .state(LogFields.event("announcement not written").error(error)));
    }

    private void carryOut(VersionRollout.Effect effect, NamedVersion version, VersionRollout rollout) {
        if (effect instanceof VersionRollout.Effect.Read read) {
            read(read.server(), version.model(), rollout);
        } else if (effect instanceof VersionRollout.Effect.Order order) {
            order(order, rollout);
        }
    }

    private void read(UpstreamServer server, String model, VersionRollout rollout) {
        engines.report(server.address())
                .publishOn(parts.control())
                .subscribe(report -> rollout.onReport(server, state(report, model)), error -> parts.log()
                        .state(LogFields.event("engine's report not read")
                                .peer(server.address())
                                .error(error)));
    }

    private static VersionRollout.EngineState state(EngineControl.Report report, String model) {
        return new VersionRollout.EngineState(
                report.versionByModel().getOrDefault(model, -1L),
                report.ordering(),
                report.acceptedOrders(),
                report.running() + report.queued());
    }

    private void order(VersionRollout.Effect.Order order, VersionRollout rollout) {
        // The lease may have ended since this tick began; the check comes last before the order leaves.
        if (!mayOrder()) {
            return;
        }
        VersionOrder sent = new VersionOrder(
                order.server().id(),
                order.model(),
                order.version(),
                parts.self().name(),
                lease.fencingToken(),
                order.expectedOrders(),
                order.keepsRuns());
        engines.order(order.server().address(), sent)
                .publishOn(parts.control())
                .subscribe(outcome -> onOutcome(outcome, order, rollout), error -> onOrderLost(error, order));
    }

    private void onOutcome(OrderOutcome outcome, VersionRollout.Effect.Order order, VersionRollout rollout) {
        parts.log().state(describe("order given", order).field("outcome", outcome));
        if (outcome != OrderOutcome.ACCEPTED) {
            rollout.onRejected(order.server());
        }
    }

    // The order may still be carried out; the engine's reports tell.
    private void onOrderLost(Throwable error, VersionRollout.Effect.Order order) {
        parts.log().state(describe("order's outcome unknown", order).error(error));
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
