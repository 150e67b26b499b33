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

/** Faults of section 4 of the design page in random combination, with callers that repeat their calls anywhere. */
final class FaultScenario {
    private static final int NODES = 5;
    private static final long OUTAGE_MILLIS = 60_000;
    private static final long RETENTION_MILLIS = 1_200_000;
    private static final long FAULT_MILLIS = 4_000;
    private static final int SHORT_FAULT_MILLIS = 8_000;
    private static final int MAX_FAULT_MILLIS = 100_000;
    private static final double LOST_SHARE = 0.05;
    private static final long ORDER_MILLIS = 40;
    private static final long REPEAT_SPREAD_MILLIS = 90_000;
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
    private final int[] incarnation = new int[NODES];
    private long doubleRuns;
    private long falseNotRun;
    private long otherAnswers;
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
        scheduler.schedule(this::arrive, 1_000, TimeUnit.MILLISECONDS);
        scheduler.schedule(this::fault, FAULT_MILLIS, TimeUnit.MILLISECONDS);
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
        long oldGranted = repeatOldKeys();
        return List.of(
                Figure.info("fault_calls", calls),
                Figure.atMost("fault_double_runs", doubleRuns, 0),
                Figure.atMost("fault_false_not_run", falseNotRun, 0),
                Figure.atMost("fault_other_answer_than_first", otherAnswers, 0),
                Figure.atMost("fault_calls_unanswered", calls - answers, 0),
                Figure.info("fault_granted", underFaults.getOrDefault(Kind.GRANTED, 0L)),
                Figure.info("fault_finished", underFaults.getOrDefault(Kind.FINISHED, 0L)),
                Figure.info("fault_in_progress", underFaults.getOrDefault(Kind.IN_PROGRESS, 0L)),
                Figure.info("fault_outcome_unknown", underFaults.getOrDefault(Kind.OUTCOME_UNKNOWN, 0L)),
                Figure.info("fault_refused_not_run", underFaults.getOrDefault(Kind.REFUSED, 0L)),
                Figure.info("outage_refused_not_run", underOutage.getOrDefault(Kind.REFUSED, 0L)),
                Figure.info("outage_outcome_unknown", underOutage.getOrDefault(Kind.OUTCOME_UNKNOWN, 0L)),
                Figure.info("outage_granted", underOutage.getOrDefault(Kind.GRANTED, 0L)),
                Figure.atMost("retention_old_keys_granted", oldGranted, 0),
                Figure.info("retention_values_at_end", platform.countValues("claims/")));
    }

    private void arrive() {
        if (scheduler.nowMillis() > outageEndMillis) {
            return;
        }
        scheduler.schedule(this::arrive, 1 + random.nextInt((int) (2 * ORDER_MILLIS)), TimeUnit.MILLISECONDS);
        long window = fleet.service(0).currentWindow();
        Order order = new Order(new ClaimKey(new TeamId("team"), window, "order-" + orders.size()));
        orders.put(orders.size(), order);
        int repeats = random.nextInt(4);
        call(order);
        for (int i = 0; i < repeats; i++) {
            long delayMillis = random.nextBoolean() ? random.nextInt(50) : random.nextInt((int) REPEAT_SPREAD_MILLIS);
            scheduler.schedule(() -> call(order), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void call(Order order) {
        int node = random.nextInt(NODES);
        boolean ranBefore = order.runs > 0;
        int run = incarnation[node];
        calls++;
        fleet.service(node).claim(order.key, "fingerprint").subscribe(outcome -> {
            answers++;
            if (run == incarnation[node]) {
                answered(node, order, ranBefore, outcome);
            }
        });
    }

    private void answered(int node, Order order, boolean ranBefore, ClaimOutcome outcome) {
        outcomes.merge(outcome.kind(), 1L, Long::sum);
        if (outcome.kind() == Kind.REFUSED && ranBefore) {
            falseNotRun++;
        }
        if (outcome.kind() == Kind.FINISHED) {
            String text = new String(outcome.answer().body());
            order.firstAnswer = order.firstAnswer == null ? text : order.firstAnswer;
            otherAnswers += order.firstAnswer.equals(text) && order.runs > 0 ? 0 : 1;
        }
        if (outcome.kind() == Kind.GRANTED) {
            granted(node, order);
        }
    }

    private void granted(int node, Order order) {
        if (random.nextInt(20) == 0) {
            // The plain service could not be reached, so the request certainly did not run.
            fleet.service(node).release(order.key).subscribe(done -> {}, error -> {});
            return;
        }
        order.runs++;
        if (order.runs > 1) {
            doubleRuns++;
        }
        int run = incarnation[node];
        StoredAnswer answer = StoredAnswer.of(200, "text/plain", ("answer of run " + order.runs).getBytes());
        scheduler.schedule(
                () -> {
                    if (run == incarnation[node]) {
                        fleet.service(node).finish(order.key, answer).subscribe(done -> {}, error -> {});
                    }
                },
                random.nextInt(200),
                TimeUnit.MILLISECONDS);
    }

    // Every fault heals by itself; its length exceeds the gap to the next one often enough for two or three to overlap.
    private void fault() {
        if (scheduler.nowMillis() > faultsEndMillis - MAX_FAULT_MILLIS) {
            return;
        }
        scheduler.schedule(this::fault, FAULT_MILLIS, TimeUnit.MILLISECONDS);
        int node = random.nextInt(NODES);
        switch (random.nextInt(8)) {
            case 0 -> during(platform::setDown);
            case 1, 2 -> during(on -> platform.setLostResponseShare(on ? LOST_SHARE : 0));
            case 3 -> during(on -> mistake(node, on));
            case 4 -> during(on -> fleet.setConnected(node, !on));
            case 5 -> during(on -> fleet.setPlatformReachable(node, !on));
            case 6 -> during(on -> fleet.setPaused(node, on));
            default -> {
                incarnation[node]++;
                fleet.restart(node);
            }
        }
    }

    private void during(Consumer<Boolean> fault) {
        fault.accept(true);
        // Some faults last beyond the age at which log values are deleted.
        int longestMillis = random.nextInt(10) == 0 ? MAX_FAULT_MILLIS : SHORT_FAULT_MILLIS;
        scheduler.schedule(() -> fault.accept(false), random.nextInt(longestMillis), TimeUnit.MILLISECONDS);
    }

    private void mistake(int node, boolean on) {
        for (int partition = 0; partition < SETTINGS.partitions(); partition++) {
            fleet.believe(node, partition, on ? node : partition);
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
