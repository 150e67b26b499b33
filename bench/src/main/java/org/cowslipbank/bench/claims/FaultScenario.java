package org.cowslipbank.bench.claims;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.platform.FakeKeyValueStore;
import org.cowslipbank.bench.platform.VirtualScheduler;
import org.cowslipbank.decision.claims.ClaimKey;
import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.ClaimOutcome.Kind;
import org.cowslipbank.decision.claims.ClaimSettings;
import org.cowslipbank.decision.claims.ClaimWindows;
import org.cowslipbank.decision.claims.StoredAnswer;
import org.cowslipbank.model.TeamId;

/** Random combinations of the faults in section 4 of the design page, with callers that repeat their calls at any node. */
final class FaultScenario {
    private static final int NODES = 5;
    private static final long OUTAGE_MILLIS = 60_000;
    private static final long RETENTION_MILLIS = 1_200_000;
    private static final long FAULT_PERIOD_MILLIS = 4_000;
    private static final int MAX_SHORT_FAULT_MILLIS = 8_000;
    private static final int MAX_LONG_FAULT_MILLIS = 100_000;
    private static final double LOST_RESPONSE_SHARE = 0.05;
    private static final long MEAN_ORDER_GAP_MILLIS = 40;
    private static final long MAX_REPEAT_DELAY_MILLIS = 90_000;
    private static final ClaimSettings SETTINGS =
            new ClaimSettings(new ClaimWindows(60_000, 5), 2, 30, 2_000, 30_000, 1_000);

    private static final class Order {
        private final ClaimKey key;
        private int runs;
        private String firstAnswer;

        private Order(ClaimKey key) {
            this.key = key;
        }
    }

    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final FakeKeyValueStore platform;
    private final ClaimFleet fleet;
    private final Random random;
    private final Map<Kind, Long> outcomes = new EnumMap<>(Kind.class);
    private final Map<Integer, Order> orders = new HashMap<>();
    private final int[] nodeStarts = new int[NODES];
    private long duplicateRuns;
    private long falseNotRun;
    private long differingAnswers;
    private long calls;
    private long answers;
    private final long faultsEndMillis;
    private final long outageEndMillis;
    private final long retentionEndMillis;

    FaultScenario(long seed, long faultsMillis) {
        faultsEndMillis = faultsMillis;
        outageEndMillis = faultsEndMillis + OUTAGE_MILLIS;
        retentionEndMillis = outageEndMillis + RETENTION_MILLIS;
        random = new Random(seed);
        platform = new FakeKeyValueStore(scheduler, 5, seed);
        fleet = new ClaimFleet(scheduler, platform, SETTINGS, NODES);
    }

    List<Figure> run() {
        scheduler.schedule(this::sendNextOrder, 1_000, TimeUnit.MILLISECONDS);
        scheduler.schedule(this::injectNextFault, FAULT_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        scheduler.advanceTo(faultsEndMillis);
        scheduler.advanceTo(faultsEndMillis + 20_000);
        Map<Kind, Long> underFaults = new EnumMap<>(outcomes);
        outcomes.clear();
        platform.setDown(true);
        scheduler.advanceTo(faultsEndMillis + 25_000);
        outcomes.clear();
        scheduler.advanceTo(faultsEndMillis + 55_000);
        Map<Kind, Long> underOutage = new EnumMap<>(outcomes);
        platform.setDown(false);
        scheduler.advanceTo(retentionEndMillis);
        long oldKeysGranted = repeatOldKeys();
        return List.of(
                Figure.unbounded("fault_calls", calls),
                Figure.atMost("fault_double_runs", duplicateRuns, 0),
                Figure.atMost("fault_false_not_run", falseNotRun, 0),
                Figure.atMost("fault_other_answer_than_first", differingAnswers, 0),
                Figure.atMost("fault_calls_unanswered", calls - answers, 0),
                Figure.unbounded("fault_granted", underFaults.getOrDefault(Kind.GRANTED, 0L)),
                Figure.unbounded("fault_finished", underFaults.getOrDefault(Kind.FINISHED, 0L)),
                Figure.unbounded("fault_in_progress", underFaults.getOrDefault(Kind.IN_PROGRESS, 0L)),
                Figure.unbounded("fault_outcome_unknown", underFaults.getOrDefault(Kind.OUTCOME_UNKNOWN, 0L)),
                Figure.unbounded("fault_refused_not_run", underFaults.getOrDefault(Kind.REFUSED, 0L)),
                Figure.unbounded("outage_refused_not_run", underOutage.getOrDefault(Kind.REFUSED, 0L)),
                Figure.unbounded("outage_outcome_unknown", underOutage.getOrDefault(Kind.OUTCOME_UNKNOWN, 0L)),
                Figure.unbounded("outage_granted", underOutage.getOrDefault(Kind.GRANTED, 0L)),
                Figure.atMost("retention_old_keys_granted", oldKeysGranted, 0),
                Figure.unbounded("retention_values_at_end", platform.countValues("claims/")));
    }

    private void sendNextOrder() {
        if (scheduler.nowMillis() > outageEndMillis) {
            return;
        }
        scheduler.schedule(
                this::sendNextOrder, 1 + random.nextInt((int) (2 * MEAN_ORDER_GAP_MILLIS)), TimeUnit.MILLISECONDS);
        long window = fleet.service(0).currentWindow();
        Order order = new Order(new ClaimKey(new TeamId("team"), window, "order-" + orders.size()));
        orders.put(orders.size(), order);
        int repeats = random.nextInt(4);
        call(order);
        for (int i = 0; i < repeats; i++) {
            long delayMillis =
                    random.nextBoolean() ? random.nextInt(50) : random.nextInt((int) MAX_REPEAT_DELAY_MILLIS);
            scheduler.schedule(() -> call(order), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void call(Order order) {
        int node = random.nextInt(NODES);
        boolean ranBefore = order.runs > 0;
        int startsBefore = nodeStarts[node];
        calls++;
        fleet.service(node).claim(order.key, "fingerprint").subscribe(outcome -> {
            answers++;
            if (startsBefore == nodeStarts[node]) {
                recordOutcome(node, order, ranBefore, outcome);
            }
        });
    }

    private void recordOutcome(int node, Order order, boolean ranBefore, ClaimOutcome outcome) {
        outcomes.merge(outcome.kind(), 1L, Long::sum);
        if (outcome.kind() == Kind.REFUSED && ranBefore) {
            falseNotRun++;
        }
        if (outcome.kind() == Kind.FINISHED) {
            String text = new String(outcome.answer().body());
            order.firstAnswer = order.firstAnswer == null ? text : order.firstAnswer;
            differingAnswers += order.firstAnswer.equals(text) && order.runs > 0 ? 0 : 1;
        }
        if (outcome.kind() == Kind.GRANTED) {
            runOrder(node, order);
        }
    }

    private void runOrder(int node, Order order) {
        if (random.nextInt(20) == 0) {
            // The plain service was unreachable, so the request did not run.
            fleet.service(node).release(order.key).subscribe(done -> {}, error -> {});
            return;
        }
        order.runs++;
        if (order.runs > 1) {
            duplicateRuns++;
        }
        int startsBefore = nodeStarts[node];
        StoredAnswer answer = StoredAnswer.of(200, "text/plain", ("answer of run " + order.runs).getBytes());
        scheduler.schedule(
                () -> {
                    if (startsBefore == nodeStarts[node]) {
                        fleet.service(node).finish(order.key, answer).subscribe(done -> {}, error -> {});
                    }
                },
                random.nextInt(200),
                TimeUnit.MILLISECONDS);
    }

    // Every fault ends by itself; many outlast the gap to the next one, so that two or three overlap.
    private void injectNextFault() {
        if (scheduler.nowMillis() > faultsEndMillis - MAX_LONG_FAULT_MILLIS) {
            return;
        }
        scheduler.schedule(this::injectNextFault, FAULT_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        int node = random.nextInt(NODES);
        switch (random.nextInt(8)) {
            case 0 -> applyTemporarily(platform::setDown);
            case 1, 2 -> applyTemporarily(on -> platform.setLostResponseShare(on ? LOST_RESPONSE_SHARE : 0));
            case 3 -> applyTemporarily(on -> setWrongOwner(node, on));
            case 4 -> applyTemporarily(on -> fleet.setConnected(node, !on));
            case 5 -> applyTemporarily(on -> fleet.setPlatformReachable(node, !on));
            case 6 -> applyTemporarily(on -> fleet.setPaused(node, on));
            default -> {
                nodeStarts[node]++;
                fleet.restart(node);
            }
        }
    }

    private void applyTemporarily(Consumer<Boolean> setFault) {
        setFault.accept(true);
        // Some faults last longer than the age at which log values are deleted.
        int longestMillis = random.nextInt(10) == 0 ? MAX_LONG_FAULT_MILLIS : MAX_SHORT_FAULT_MILLIS;
        scheduler.schedule(() -> setFault.accept(false), random.nextInt(longestMillis), TimeUnit.MILLISECONDS);
    }

    private void setWrongOwner(int node, boolean on) {
        for (int partition = 0; partition < SETTINGS.partitions(); partition++) {
            fleet.setBelievedOwner(node, partition, on ? node : partition);
        }
    }

    private long repeatOldKeys() {
        outcomes.clear();
        List<Order> old = List.copyOf(orders.values());
        for (int i = 0; i < old.size(); i += 10) {
            call(old.get(i));
        }
        scheduler.advanceTo(retentionEndMillis + 20_000);
        return outcomes.getOrDefault(Kind.GRANTED, 0L);
    }
}
