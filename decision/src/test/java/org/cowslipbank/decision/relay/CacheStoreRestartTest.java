package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Stream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.statistics.Statistics;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.PromptPart;

/**
 * A model of nodes and of a cache store that goes down for a drawn time and returns empty. Two nodes ask the store; the others
 * learn from one of them, which they may change. After each step every node that runs plans a request; an engine reads what it
 * fetches at the worst moment until the deadline, and saves after a drawn time.
 */
final class CacheStoreRestartTest {
    private static final int HUBS = 2;
    private static final int NODES = 4;
    private static final long CLOCK_OFFSET_MILLIS = 70_000_000;
    private static final long TICK_MILLIS = 110;
    private static final long WRITE_MILLIS = 300;
    private static final long LONGEST_SAVE_MILLIS = 900;
    private static final long LONGEST_OUTAGE_MILLIS = 4_500;
    private static final long MAX_CALL_MILLIS = 1_700;
    private static final long SLOW_ANSWER_MILLIS = 1_100;

    /** Longest time from a store's answer to a save that was planned by it: the ways to a hub and a member, plan, save. */
    private static final long LAST_SAVE_MILLIS = 2 * (SLOW_ANSWER_MILLIS + TICK_MILLIS)
            + CacheIndex.SAVE_ANSWER_VALID_MILLIS
            + LONGEST_SAVE_MILLIS
            + TICK_MILLIS;

    private static final String SCOPE = CacheScope.of("m", 1, "");
    private static final CacheStore STORE = new CacheStore("s", "s:80", "a", 1_000_000, 8, true);
    private static final List<CacheStore> STORES = List.of(STORE);
    private static final PromptPart PART = new PromptPart("p", 500);
    private static final List<PromptPart> PARTS = List.of(PART, new PromptPart("own", 10));
    private static final List<Long> STEP_MILLIS =
            List.of(1L, 1L, 90L, 300L, 300L, 700L, 700L, 1_100L, 1_600L, 2_900L, 4_600L, 5_600L);

    /** What happens before a step's time passes. */
    private enum Action {
        NOTHING,
        RESTART_STORE,
        SUSPEND,
        CUT_OFF,
        SLOW_ANSWERS,
        NORMAL,
        RESTART_NODE,
        CHANGE_HUB
    }

    /** Restarts of the store are drawn more often than what befalls the nodes. */
    private static final List<Action> ACTIONS = Stream.concat(
                    Arrays.stream(Action.values()),
                    Stream.of(Action.RESTART_STORE, Action.RESTART_STORE, Action.NORMAL, Action.NORMAL, Action.NOTHING))
            .toList();

    /**
     * A step.
     *
     * @param action the action
     * @param node the node that it befalls
     * @param downMillis how long a store that restarts is down, in milliseconds
     * @param saveMillis how long engines take from now on until they save, in milliseconds
     * @param millis time that passes after the action, in milliseconds
     */
    private record Step(Action action, int node, long downMillis, long saveMillis, long millis) {}

    /** A save that an engine will carry out, and the epoch by which it was planned. */
    private record Save(long plannedEpoch, long dueMillis) {}

    /**
     * What a store or a hub tells.
     *
     * @param epoch the store's epoch
     * @param clockMillis the upstreams' clock when it was told, in milliseconds
     * @param ageMillis time since the store's answer then, in milliseconds
     * @param epochMillis how long the sender had known the epoch, in milliseconds
     * @param hasPart whether the part is complete
     * @param toldAtMillis when it was told, in milliseconds
     * @param arrivesAtMillis when it arrives, in milliseconds
     */
    private record Message(
            long epoch,
            long clockMillis,
            long ageMillis,
            long epochMillis,
            boolean hasPart,
            long toldAtMillis,
            long arrivesAtMillis) {}

    private long nowMillis;
    private long epoch;
    private long upAtMillis;
    private long reservedAtMillis;
    private long lastFetchEndMillis;
    private long lastYoungFetchEndMillis;
    private int fetchCount;
    private int saveCount;
    private int lateSaveCount;
    private long saveMillis;
    private boolean outagesMayBeShort;
    private final List<Save> saves = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();

    private boolean isUp() {
        return nowMillis >= upAtMillis;
    }

    private boolean isReserved() {
        return reservedAtMillis != Long.MAX_VALUE;
    }

    private boolean isComplete() {
        return isReserved() && nowMillis >= reservedAtMillis + WRITE_MILLIS;
    }

    private void restartStore(long downMillis) {
        epoch++;
        upAtMillis = Math.max(upAtMillis, nowMillis + downMillis);
        reservedAtMillis = Long.MAX_VALUE;
    }

    /** A node with its own clock and its own index. */
    private final class Node {
        private final int number;
        private CacheIndex index = new CacheIndex();
        private Action state = Action.NORMAL;
        private int hub;
        private long suspendedMillis;
        private long answeredAtMillis;
        private long answeredAtWallMillis;
        private long aheadMillis;
        private boolean hasIndex;
        private boolean hasPart;
        private Message coming;

        Node(int number) {
            this.number = number;
            this.hub = number % HUBS;
        }

        boolean isHub() {
            return number < HUBS;
        }

        long monotonicMillis() {
            return nowMillis - suspendedMillis;
        }

        void restart() {
            index = new CacheIndex();
            state = Action.NORMAL;
            coming = null;
            lose();
        }

        void change(Action next) {
            state = next;
        }

        void changeHub() {
            hub = (hub + 1) % HUBS;
            lose();
        }

        void lose() {
            hasIndex = false;
            hasPart = false;
            index.onStoreLost(STORE.address());
        }

        void pass(long millis) {
            if (state == Action.SUSPEND) {
                suspendedMillis += millis;
                return;
            }
            if (coming != null && nowMillis >= coming.arrivesAtMillis()) {
                receive(coming);
                coming = null;
            }
            if (coming == null && state != Action.CUT_OFF) {
                coming = isHub() ? askStore() : nodes.get(hub).tell(arrivalMillis());
            }
        }

        private long arrivalMillis() {
            return nowMillis + (state == Action.SLOW_ANSWERS ? SLOW_ANSWER_MILLIS : 1);
        }

        private Message askStore() {
            return isUp()
                    ? new Message(
                            epoch, nowMillis + CLOCK_OFFSET_MILLIS, 0, 0, isComplete(), nowMillis, arrivalMillis())
                    : null;
        }

        private Message tell(long arrivesAtMillis) {
            if (!hasIndex || state == Action.SUSPEND) {
                return null;
            }
            long toldAtMillis = monotonicMillis();
            return new Message(
                    index.storeEpoch(STORE.address()).orElseThrow(),
                    toldAtMillis + aheadMillis,
                    Math.max(toldAtMillis - answeredAtMillis, nowMillis - answeredAtWallMillis),
                    index.epochKnownMillis(STORE.address(), toldAtMillis).orElseThrow(),
                    hasPart,
                    nowMillis,
                    arrivesAtMillis);
        }

        private void receive(Message message) {
            if (nowMillis - message.toldAtMillis() > MAX_CALL_MILLIS) {
                return;
            }
            OptionalLong answeredClockMillis = OptionalLong.of(message.clockMillis() - message.ageMillis());
            if (index.isOutdated(STORE.address(), message.epoch(), answeredClockMillis)) {
                lose();
                return;
            }
            index.onClocksRead(new LeaderLease.ClockReading(monotonicMillis(), nowMillis));
            long arrivedAtMillis = monotonicMillis();
            hasIndex = true;
            hasPart = message.hasPart();
            answeredAtMillis = arrivedAtMillis - message.ageMillis();
            answeredAtWallMillis = nowMillis - message.ageMillis();
            aheadMillis = message.clockMillis() - arrivedAtMillis;
            index.onUpstreamClock(STORE.address(), message.clockMillis(), arrivedAtMillis);
            index.onStoreAnswer(STORE.address(), message.epoch(), true, answeredAtMillis);
            index.onEpochKnownElsewhere(STORE.address(), message.epoch(), arrivedAtMillis - message.epochMillis());
            index.onPartEvent(STORE.address(), SCOPE, PART.id(), hasPart ? PART.tokens() : 0);
        }

        void plan() {
            if (state == Action.SUSPEND) {
                return;
            }
            index.onClocksRead(new LeaderLease.ClockReading(monotonicMillis(), nowMillis));
            CacheIndex.Plan plan = index.plan(SCOPE, PARTS, STORES, monotonicMillis());
            if (!plan.fetchFrom().get(0).isEmpty()) {
                long untilMillis =
                        index.fetchDeadlineMillis(plan, monotonicMillis()).orElseThrow() - CLOCK_OFFSET_MILLIS;
                fetch(untilMillis);
                long knownMillis = index.epochKnownMillis(STORE.address(), monotonicMillis())
                        .orElseThrow();
                if (knownMillis < CacheIndex.YOUNG_EPOCH_MILLIS) {
                    lastYoungFetchEndMillis = Math.max(lastYoungFetchEndMillis, untilMillis);
                }
            }
            if (!plan.saveTo().get(0).isEmpty()) {
                index.onSavesRequested(SCOPE, PARTS, plan, monotonicMillis());
                saves.add(new Save(index.storeEpoch(STORE.address()).orElseThrow(), nowMillis + saveMillis));
            }
        }
    }

    private void fetch(long untilMillis) {
        if (untilMillis < nowMillis) {
            return;
        }
        fetchCount++;
        lastFetchEndMillis = Math.max(lastFetchEndMillis, untilMillis);
        assert !isReserved() || isComplete() : "fetched until " + untilMillis + " what is written at " + nowMillis;
    }

    private void carryOutSaves() {
        List<Save> due =
                saves.stream().filter(save -> save.dueMillis() <= nowMillis).toList();
        saves.removeAll(due);
        due.forEach(this::carryOut);
    }

    private void carryOut(Save save) {
        if (!isUp() || isReserved()) {
            return;
        }
        if (save.plannedEpoch() != epoch) {
            // Is in the way of no fetch, unless the part was also complete in the earlier epoch.
            lateSaveCount++;
            assert outagesMayBeShort || lastYoungFetchEndMillis < nowMillis
                    : "written late at " + nowMillis + ", fetched until " + lastYoungFetchEndMillis;
            return;
        }
        saveCount++;
        reservedAtMillis = nowMillis;
        assert lastFetchEndMillis < nowMillis
                : "written from " + nowMillis + ", fetched until " + lastFetchEndMillis + " by an earlier plan";
    }

    private void apply(Step step) {
        Node node = nodes.get(step.node());
        switch (step.action()) {
            case RESTART_STORE -> restartStore(step.downMillis());
            case RESTART_NODE -> node.restart();
            case CHANGE_HUB -> node.changeHub();
            case SUSPEND, CUT_OFF, SLOW_ANSWERS, NORMAL -> node.change(step.action());
            default -> {
                // Only time passes.
            }
        }
    }

    /** All tries of a property share this object. */
    private void clear() {
        nowMillis = 1_000_000;
        epoch = 1;
        upAtMillis = 0;
        reservedAtMillis = Long.MAX_VALUE;
        lastFetchEndMillis = 0;
        lastYoungFetchEndMillis = 0;
        fetchCount = 0;
        saveCount = 0;
        lateSaveCount = 0;
        saveMillis = 0;
        saves.clear();
        nodes.clear();
        for (int number = 0; number < NODES; number++) {
            nodes.add(new Node(number));
        }
    }

    private void run(List<Step> steps) {
        clear();
        pass(CacheIndex.SAVE_DELAY_MILLIS + 1_000);
        for (Step step : steps) {
            saveMillis = step.saveMillis();
            apply(step);
            pass(step.millis());
        }
    }

    private void pass(long millis) {
        for (long leftMillis = millis; leftMillis > 0; leftMillis -= TICK_MILLIS) {
            long tickMillis = Math.min(leftMillis, TICK_MILLIS);
            nowMillis += tickMillis;
            nodes.forEach(node -> node.pass(tickMillis));
            nodes.forEach(Node::plan);
            carryOutSaves();
        }
    }

    private static Arbitrary<List<Step>> steps(long shortestDownMillis) {
        Arbitrary<Step> step = Combinators.combine(
                        Arbitraries.of(ACTIONS),
                        Arbitraries.integers().between(0, NODES - 1),
                        Arbitraries.longs().between(shortestDownMillis, LONGEST_OUTAGE_MILLIS),
                        Arbitraries.longs().between(0, LONGEST_SAVE_MILLIS),
                        Arbitraries.of(STEP_MILLIS))
                .as(Step::new);
        return step.list().ofMinSize(20).ofMaxSize(50);
    }

    @Provide
    Arbitrary<List<Step>> anyOutages() {
        return steps(1);
    }

    @Provide
    Arbitrary<List<Step>> mediumOutages() {
        return steps(CacheIndex.YOUNG_EPOCH_LEASE_MILLIS + 1);
    }

    @Provide
    Arbitrary<List<Step>> longerOutages() {
        return steps(LAST_SAVE_MILLIS);
    }

    /**
     * Failure guarded against: a request fetches what another node lets an engine write after the store's restart, however
     * short. Saves that were planned before the restart are left out.
     */
    @Property(tries = 1_000, seed = "1")
    void noPartIsWrittenWhileAnEarlierEpochIsFetched(@ForAll("anyOutages") List<Step> steps) {
        outagesMayBeShort = true;
        runAndCollect(steps);
    }

    /**
     * Failure guarded against: a save that was planned soon after an epoch began is carried out in the next one while parts are
     * fetched by the earlier one.
     */
    @Property(tries = 1_000, seed = "1")
    void noPartOfAYoungEpochIsFetchedWhileLateSavesAreCarriedOut(@ForAll("mediumOutages") List<Step> steps) {
        outagesMayBeShort = false;
        runAndCollect(steps);
        Statistics.label("late save").collect(lateSaveCount > 0).coverage(checker -> checker.check(true)
                .percentage(share -> share > 20));
    }

    /** Failure guarded against: a save that was planned before a longer outage is carried out after it. */
    @Property(tries = 1_000, seed = "1")
    void noSaveOutlastsALongerOutage(@ForAll("longerOutages") List<Step> steps) {
        outagesMayBeShort = false;
        runAndCollect(steps);
        assert lateSaveCount == 0 : lateSaveCount;
    }

    private void runAndCollect(List<Step> steps) {
        run(steps);
        Statistics.label("fetched and saved again")
                .collect(fetchCount > 0 && saveCount > 1)
                .coverage(checker -> checker.check(true).percentage(share -> share > 50));
    }

    /** Failure guarded against: a node that has just learned of a restart lets parts be written that others fetch. */
    @Example
    void storeThatReturnsAtOnceIsNotWrittenToWhileOthersFetch() {
        CacheIndex early = new CacheIndex();
        CacheIndex late = new CacheIndex();
        for (CacheIndex index : List.of(early, late)) {
            index.onUpstreamClock(STORE.address(), CLOCK_OFFSET_MILLIS, 0);
            index.onStoreAnswer(STORE.address(), 1, true, 0);
            index.onEpochKnownElsewhere(STORE.address(), 1, -CacheIndex.YOUNG_EPOCH_MILLIS);
            index.onPartEvent(STORE.address(), SCOPE, PART.id(), PART.tokens());
        }
        long fetchEndMillis = 0;
        long saveMillis = Long.MAX_VALUE;
        for (long millis = 300; saveMillis == Long.MAX_VALUE; millis += 100) {
            early.onUpstreamClock(STORE.address(), CLOCK_OFFSET_MILLIS + millis, millis);
            early.onStoreAnswer(STORE.address(), 2, false, millis);
            if (!early.plan(SCOPE, PARTS, STORES, millis).saveTo().get(0).isEmpty()) {
                saveMillis = millis;
            }
            CacheIndex.Plan plan = late.plan(SCOPE, PARTS, STORES, millis);
            if (!plan.fetchFrom().get(0).isEmpty()) {
                fetchEndMillis = late.fetchDeadlineMillis(plan, millis).orElseThrow() - CLOCK_OFFSET_MILLIS;
            }
        }
        assert fetchEndMillis > 0 && fetchEndMillis < saveMillis : fetchEndMillis + " " + saveMillis;
    }
}
