package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.VersionRollout.Effect;
import org.cowslipbank.decision.relay.VersionRollout.EngineState;
import org.cowslipbank.model.relay.UpstreamServer;

final class VersionRolloutTest {
    private static final String MODEL = RelaySamples.MODEL;
    private static final long BOUND_MILLIS = 6_000;
    private static final long LOAD_MILLIS = 300;

    private final VersionRollout rollout = new VersionRollout();
    private final List<UpstreamServer> engines = RelaySamples.engines(6, 1);

    /** Failure guarded against: an engine gets its order before all nodes have stopped sending to it. */
    @Example
    void ordersFollowTheAnnouncement() {
        assert rollout.tick(MODEL, 2, engines, Set.of(), BOUND_MILLIS, 0).isEmpty();
        assert rollout.enginesToAnnounce().size() == 2;
        List<Effect> effects = rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 10);
        assert effects.size() == 2 && effects.stream().allMatch(Effect.ReadState.class::isInstance) : effects;
    }

    /** Failure guarded against: an order without the engine's own order count is rejected, or carried out late. */
    @Example
    void orderCarriesTheReportedCount() {
        rollout.tick(MODEL, 2, engines, Set.of(), BOUND_MILLIS, 0);
        rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 10);
        UpstreamServer first = engines.get(0);
        rollout.onReport(first, new EngineState(1, false, 4, 0));
        List<Effect> effects = rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 300);
        Effect.Order order = orders(effects).get(0);
        assert order.server().equals(first) && order.expectedOrders() == 4 && !order.keepsRuns() : order;
        assert orders(rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 400))
                .isEmpty();
    }

    /** Failure guarded against: an engine whose longest run lasts for seconds delays the version beyond its bound. */
    @Example
    void longRunsAreKeptAfterTheDrainTime() {
        rollout.tick(MODEL, 2, engines, Set.of(), BOUND_MILLIS, 0);
        rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 10);
        rollout.onReport(engines.get(0), new EngineState(1, false, 0, 3));
        assert orders(rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 500))
                .isEmpty();
        long later = 10 + VersionRollout.DRAIN_MILLIS;
        assert orders(rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, later))
                .get(0)
                .keepsRuns();
    }

    /** Failure guarded against: a rejected order is never repeated, or repeated at once without a new order count. */
    @Example
    void rejectedOrderIsRepeatedAfterAReport() {
        rollout.tick(MODEL, 2, engines, Set.of(), BOUND_MILLIS, 0);
        rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 10);
        UpstreamServer first = engines.get(0);
        rollout.onReport(first, new EngineState(1, false, 0, 0));
        assert orders(rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 300))
                        .size()
                == 1;
        rollout.onRejected(first);
        assert orders(rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 310))
                .isEmpty();
        rollout.onReport(first, new EngineState(1, false, 1, 0));
        assert orders(rollout.tick(MODEL, 2, engines, rollout.enginesToAnnounce(), BOUND_MILLIS, 320))
                        .get(0)
                        .expectedOrders()
                == 1;
    }

    /** Failure guarded against: a rollout under load exceeds the version's bound, or stops half of the engines. */
    @Example
    void sixEnginesWithinTheBound() {
        Map<String, Long> loadedAt = new HashMap<>();
        Map<String, Long> versions = new HashMap<>();
        long nowMillis = 0;
        Set<String> announced = Set.of();
        while (versions.size() < engines.size() && nowMillis < 60_000) {
            for (Effect effect : rollout.tick(MODEL, 2, engines, announced, BOUND_MILLIS, nowMillis)) {
                if (effect instanceof Effect.Order order) {
                    loadedAt.put(order.server().id(), nowMillis + LOAD_MILLIS);
                } else if (effect instanceof Effect.ReadState read) {
                    report(read.server(), loadedAt, versions, nowMillis);
                }
            }
            assert rollout.enginesToAnnounce().size() <= 2 : rollout.enginesToAnnounce();
            announced = rollout.enginesToAnnounce();
            nowMillis += 60;
        }
        assert nowMillis < BOUND_MILLIS : nowMillis;
    }

    /** Failure guarded against: one dead engine blocks the rollout of the others. */
    @Example
    void deadEngineLosesItsPlaceInTheBatch() {
        List<UpstreamServer> three = RelaySamples.engines(3, 1);
        rollout.tick(MODEL, 2, three, Set.of(), BOUND_MILLIS, 0);
        Set<String> first = rollout.enginesToAnnounce();
        rollout.tick(MODEL, 2, three, first, BOUND_MILLIS, VersionRollout.SWITCH_TIMEOUT_MILLIS);
        assert rollout.enginesToAnnounce().contains("i-2") : rollout.enginesToAnnounce();
    }

    private void report(UpstreamServer server, Map<String, Long> loadedAt, Map<String, Long> versions, long nowMillis) {
        Long loaded = loadedAt.get(server.id());
        boolean done = loaded != null && nowMillis >= loaded;
        if (done) {
            versions.put(server.id(), 2L);
        }
        long orders = loaded == null ? 0 : 1;
        rollout.onReport(server, new EngineState(done ? 2 : 1, loaded != null && !done, orders, 5));
    }

    private static List<Effect.Order> orders(List<Effect> effects) {
        List<Effect.Order> orders = new ArrayList<>();
        effects.forEach(effect -> {
            if (effect instanceof Effect.Order order) {
                orders.add(order);
            }
        });
        return orders;
    }

    /**
     * Failure guarded against: a leader that takes over late leaves engines on old weights past the version's bound.
     */
    @Example
    void littleTimeLeftSwitchesMoreAtOnce() {
        rollout.tick(MODEL, 2, engines, Set.of(), 2 * VersionRollout.SWITCH_DURATION_MILLIS, 0);
        assert rollout.enginesToAnnounce().size() == 3 : rollout.enginesToAnnounce();
        VersionRollout overdue = new VersionRollout();
        overdue.tick(MODEL, 2, engines, Set.of(), -1, 0);
        assert overdue.enginesToAnnounce().size() == 6 : overdue.enginesToAnnounce();
    }
}
