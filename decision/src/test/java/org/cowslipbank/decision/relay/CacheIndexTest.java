package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import net.jqwik.api.Example;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.PromptPart;

final class CacheIndexTest {
    private static final String SCOPE = CacheScope.of("m", 1, "");
    private static final List<CacheStore> STORES = RelaySamples.stores();
    private static final PromptPart FIRST = new PromptPart("p1", 500);
    private static final PromptPart SECOND = new PromptPart("p2", 8_000);
    private static final List<PromptPart> PARTS = List.of(FIRST, SECOND, new PromptPart("own", 900));

    private final CacheIndex cacheIndex = new CacheIndex();

    /** When parts may be saved in stores whose first answer was at time 0. */
    private static final long SAVE_MILLIS = CacheIndex.SAVE_DELAY_MILLIS;

    private void allAnswer(long epoch, long nowMillis) {
        STORES.forEach(store -> {
            cacheIndex.onUpstreamClock(store.address(), nowMillis, nowMillis);
            cacheIndex.onStoreAnswer(store.address(), epoch, false, nowMillis);
        });
    }

    private static String storeOf(PromptPart part) {
        return CacheStoreChoice.storeOf(SCOPE, part.id(), STORES).orElseThrow().address();
    }

    /** Failure guarded against: an engine fetches a part that a store is still writing. */
    @Example
    void onlyCompletePartsAreFetched() {
        allAnswer(1, 0);
        allAnswer(1, SAVE_MILLIS);
        CacheIndex.Plan plan = cacheIndex.plan(SCOPE, PARTS, STORES, SAVE_MILLIS);
        assert plan.fetchFrom().equals(List.of("", "", ""));
        assert plan.saveTo().equals(List.of(storeOf(FIRST), storeOf(SECOND), ""));
        cacheIndex.onSavesRequested(SCOPE, PARTS, plan, SAVE_MILLIS);
        cacheIndex.onPartEvent(storeOf(FIRST), SCOPE, "p1", 500);
        // A part stored with fewer tokens than the prompt part has is not complete.
        cacheIndex.onPartEvent(storeOf(SECOND), SCOPE, "p2", 128);
        CacheIndex.Plan next = cacheIndex.plan(SCOPE, PARTS, STORES, SAVE_MILLIS + 10);
        assert next.fetchFrom().equals(List.of(storeOf(FIRST), "", ""));
        assert cacheIndex.storedTokens(SCOPE, PARTS, STORES, SAVE_MILLIS + 10) == 500;
    }

    /** Failure guarded against: every request saves a part again while an earlier save is in progress. */
    @Example
    void aPartIsSavedOnce() {
        allAnswer(1, 0);
        allAnswer(1, SAVE_MILLIS);
        CacheIndex.Plan plan = cacheIndex.plan(SCOPE, PARTS, STORES, SAVE_MILLIS);
        assert plan.saveTo().equals(List.of(storeOf(FIRST), storeOf(SECOND), "")) : plan;
        cacheIndex.onSavesRequested(SCOPE, PARTS, plan, SAVE_MILLIS);
        assert cacheIndex.plan(SCOPE, PARTS, STORES, SAVE_MILLIS + 10).saveTo().equals(List.of("", "", ""));
        long later = SAVE_MILLIS + CacheIndex.SAVE_RETRY_MILLIS;
        allAnswer(1, later);
        assert cacheIndex.plan(SCOPE, PARTS, STORES, later).saveTo().equals(plan.saveTo());
    }

    /** Failure guarded against: after a store restarts, a part is fetched that another node is still saving again. */
    @Example
    void restartClearsTheIndex() {
        allAnswer(1, 0);
        cacheIndex.onPartEvent(storeOf(SECOND), SCOPE, "p2", 8_000);
        cacheIndex.onStoreAnswer(storeOf(SECOND), 2, false, 100);
        assert cacheIndex.plan(SCOPE, PARTS, STORES, 110).fetchFrom().get(1).isEmpty();
    }

    /** Failure guarded against: after a restart or a lost index, saves wait too short, or longer than they have to. */
    @Example
    void savesWaitForANewEpochOnly() {
        allAnswer(1, 0);
        allAnswer(1, SAVE_MILLIS - 1);
        assert savesAt(SAVE_MILLIS - 1).equals(List.of("", "", ""));
        cacheIndex.onStoreLost(storeOf(FIRST));
        cacheIndex.onStoreLost(storeOf(SECOND));
        allAnswer(1, SAVE_MILLIS);
        List<String> both = List.of(storeOf(FIRST), storeOf(SECOND), "");
        assert savesAt(SAVE_MILLIS).equals(both) : "an index that was lost";
        long restartMillis = SAVE_MILLIS + 500;
        allAnswer(2, restartMillis);
        assert savesAt(restartMillis).equals(List.of("", "", ""));
        STORES.forEach(store -> cacheIndex.onEpochKnownElsewhere(store.address(), 1, 0));
        assert savesAt(restartMillis).equals(List.of("", "", "")) : "known of another epoch";
        STORES.forEach(store ->
                cacheIndex.onEpochKnownElsewhere(store.address(), 2, restartMillis - CacheIndex.SAVE_DELAY_MILLIS));
        assert savesAt(restartMillis).equals(both) : "the hub has waited";
        STORES.forEach(store -> cacheIndex.onEpochRepeated(store.address()));
        allAnswer(2, restartMillis + 10);
        assert savesAt(restartMillis + 10).equals(List.of("", "", "")) : "the number came round";
    }

    /** Failure guarded against: a part that a store has is saved again while the answer is too old for a fetch. */
    @Example
    void listedPartIsNotSavedAgain() {
        allAnswer(1, 0);
        allAnswer(1, SAVE_MILLIS);
        cacheIndex.onPartEvent(storeOf(SECOND), SCOPE, "p2", 8_000);
        long laterMillis = SAVE_MILLIS + CacheIndex.YOUNG_EPOCH_ANSWER_VALID_MILLIS;
        CacheIndex.Plan plan = cacheIndex.plan(SCOPE, PARTS, STORES, laterMillis);
        assert plan.fetchFrom().get(1).isEmpty() && plan.saveTo().get(1).isEmpty() : plan;
        assert plan.saveTo().get(0).equals(storeOf(FIRST)) : plan;
    }

    /** Failure guarded against: all nodes save the same parts once an epoch has begun, some of them seconds later. */
    @Example
    void nodesTakeTurnsWhenAnEpochHasBegun() {
        List<String> nodes = new ArrayList<>();
        for (int node = 0; node < 9; node++) {
            nodes.add("n" + node);
        }
        Map<Long, Integer> counts = new HashMap<>();
        for (String node : nodes) {
            cacheIndex.setNodes(node, nodes);
            allAnswer(1, 0);
            long dueMillis = SAVE_MILLIS;
            allAnswer(1, dueMillis);
            while (savesAt(dueMillis).get(0).isEmpty()) {
                dueMillis += SaveTurns.TURN_MILLIS;
                allAnswer(1, dueMillis);
            }
            counts.merge((dueMillis - SAVE_MILLIS) / SaveTurns.TURN_MILLIS, 1, Integer::sum);
        }
        assert counts.equals(Map.of(0L, 1, 1L, 2, 2L, 4, 3L, 2)) : counts;
        assert SaveTurns.MAX_DELAY_MILLIS >= 3 * SaveTurns.TURN_MILLIS;
        cacheIndex.setNodes("n9", nodes);
        allAnswer(1, SAVE_MILLIS + SaveTurns.MAX_DELAY_MILLIS);
        assert !savesAt(SAVE_MILLIS + SaveTurns.MAX_DELAY_MILLIS).get(0).isEmpty();
    }

    private List<String> savesAt(long nowMillis) {
        return cacheIndex.plan(SCOPE, PARTS, STORES, nowMillis).saveTo();
    }

    /** Failure guarded against: after a suspension of the VM the node saves by answers from before it. */
    @Example
    void answersAgeWhileTheVmIsSuspended() {
        cacheIndex.onClocksRead(new LeaderLease.ClockReading(0, 1_000_000));
        allAnswer(1, 0);
        allAnswer(1, SAVE_MILLIS);
        cacheIndex.onClocksRead(new LeaderLease.ClockReading(SAVE_MILLIS, 1_000_000 + SAVE_MILLIS + 100));
        assert savesAt(SAVE_MILLIS).contains(storeOf(FIRST));
        cacheIndex.onClocksRead(new LeaderLease.ClockReading(SAVE_MILLIS, 1_000_000 + SAVE_MILLIS + 1_100));
        assert !savesAt(SAVE_MILLIS).contains(storeOf(FIRST));
    }

    /** Failure guarded against: an answer from before a restart that was under way for long brings the old parts back. */
    @Example
    void answersOfAnEarlierEpochAreOutdated() {
        allAnswer(1, 0);
        allAnswer(2, 5_000);
        String address = storeOf(FIRST);
        assert cacheIndex.isOutdated(address, 1, OptionalLong.of(4_900));
        assert !cacheIndex.isOutdated(address, 2, OptionalLong.of(4_900));
        assert !cacheIndex.isOutdated(address, 3, OptionalLong.of(5_100));
        assert !cacheIndex.isOutdated(address, 1, OptionalLong.empty()) : "the clock is not known";
    }

    /** Failure guarded against: a fetch by an old answer lasts until parts are written anew after a restart. */
    @Example
    void fetchEndsWithTheLeaseOfTheAnswer() {
        allAnswer(1, 0);
        cacheIndex.onPartEvent(storeOf(SECOND), SCOPE, "p2", 8_000);
        long lateMillis = CacheIndex.YOUNG_EPOCH_ANSWER_VALID_MILLIS - 1;
        long untilMillis = fetchedUntilMillis(lateMillis, lateMillis).getAsLong();
        assert untilMillis == CacheIndex.YOUNG_EPOCH_LEASE_MILLIS : "saves may be due: " + untilMillis;
        assert fetchedUntilMillis(lateMillis + 1, lateMillis + 1).isEmpty();
        long answeredAtMillis = CacheIndex.YOUNG_EPOCH_MILLIS;
        allAnswer(1, answeredAtMillis);
        lateMillis = answeredAtMillis + CacheIndex.ANSWER_VALID_MILLIS - 1;
        untilMillis = fetchedUntilMillis(lateMillis, lateMillis).getAsLong();
        assert untilMillis == lateMillis + CacheIndex.FETCH_TIMEOUT_MILLIS : untilMillis;
        assert fetchedUntilMillis(lateMillis + 1, lateMillis + 1).isEmpty();
        untilMillis = fetchedUntilMillis(lateMillis, lateMillis + 60_000).getAsLong();
        assert untilMillis == answeredAtMillis + CacheIndex.ANSWER_LEASE_MILLIS : "suspended: " + untilMillis;
    }

    /** Returns the deadline of a fetch that is planned at one time and sent at another, empty if nothing is fetched. */
    private OptionalLong fetchedUntilMillis(long plannedMillis, long sentMillis) {
        return cacheIndex.fetchDeadlineMillis(cacheIndex.plan(SCOPE, PARTS, STORES, plannedMillis), sentMillis);
    }

    /** Failure guarded against: a store that no longer answers is still read from. */
    @Example
    void silentStoreIsNotUsed() {
        allAnswer(1, 0);
        allAnswer(1, SAVE_MILLIS);
        cacheIndex.onPartEvent(storeOf(SECOND), SCOPE, "p2", 8_000);
        CacheIndex.Plan plan = cacheIndex.plan(SCOPE, PARTS, STORES, SAVE_MILLIS + CacheIndex.ANSWER_VALID_MILLIS);
        assert plan.fetchFrom().equals(List.of("", "", ""));
        assert plan.saveTo().equals(List.of("", "", ""));
    }

    /** Failure guarded against: parts of another weight version or of an isolated team are found. */
    @Example
    void scopesAreSeparate() {
        allAnswer(1, 0);
        cacheIndex.onPartEvent(storeOf(SECOND), SCOPE, "p2", 8_000);
        String newer = CacheScope.of("m", 2, "");
        String isolated = CacheScope.of("m", 1, "t");
        assert cacheIndex.storedTokens(newer, List.of(SECOND, FIRST), STORES, 10) == 0;
        assert cacheIndex.storedTokens(isolated, List.of(SECOND, FIRST), STORES, 10) == 0;
        assert CacheScope.version(isolated, "m").orElse(0) == 1;
        assert CacheScope.version("other", "m").isEmpty();
    }

    /** Failure guarded against: small stores overflow while large ones stay empty. */
    @Example
    void partsAreSpreadByCapacity() {
        Map<String, Integer> counts = new HashMap<>();
        for (int part = 0; part < 8_000; part++) {
            CacheStore store =
                    CacheStoreChoice.storeOf(SCOPE, "p" + part, STORES).orElseThrow();
            counts.merge(store.name(), 1, Integer::sum);
        }
        assert Math.abs(counts.get("s3") - 6_000) < 250 : counts;
        assert Math.abs(counts.get("s1") - 1_000) < 150 : counts;
    }

    /** Failure guarded against: parts of a version that is still in use are freed. */
    @Example
    void onlyPartsOfUnusedScopesAreListed() {
        allAnswer(1, 0);
        String address = STORES.get(0).address();
        cacheIndex.onPartEvent(address, SCOPE, "a", 10);
        cacheIndex.onPartEvent(address, CacheScope.of("m", 2, ""), "a", 10);
        List<Map.Entry<String, String>> unused =
                new ArrayList<>(cacheIndex.partsOfUnusedScopes(address, scope -> !scope.equals(SCOPE), 10));
        assert unused.equals(List.of(Map.entry(SCOPE, "a"))) : unused;
    }

    /** Failure guarded against: an engine waits longer for a slow fetch than computing the part would take. */
    @Example
    void fetchDeadlineIsOnTheUpstreamsClock() {
        STORES.forEach(store -> {
            cacheIndex.onStoreAnswer(store.address(), 1, false, 0);
            cacheIndex.onEpochKnownElsewhere(store.address(), 1, -CacheIndex.YOUNG_EPOCH_MILLIS);
        });
        cacheIndex.onPartEvent(storeOf(SECOND), SCOPE, "p2", 8_000);
        assert cacheIndex.plan(SCOPE, PARTS, STORES, 10).fetchFrom().equals(List.of("", "", ""));
        cacheIndex.onUpstreamClock(storeOf(SECOND), 70_000, 100);
        CacheIndex.Plan plan = cacheIndex.plan(SCOPE, PARTS, STORES, 300);
        assert plan.fetchFrom().equals(List.of("", storeOf(SECOND), "")) : plan;
        assert cacheIndex.fetchDeadlineMillis(plan, 300).getAsLong() == 70_200 + CacheIndex.FETCH_TIMEOUT_MILLIS;
        // Of several stores the one whose clock appears slowest counts.
        cacheIndex.onUpstreamClock("slow:80", 69_900, 100);
        plan = new CacheIndex.Plan(List.of("slow:80", storeOf(SECOND), ""), List.of());
        assert cacheIndex.fetchDeadlineMillis(plan, 300).getAsLong() == 70_100 + CacheIndex.FETCH_TIMEOUT_MILLIS;
        assert cacheIndex
                .fetchDeadlineMillis(new CacheIndex.Plan(List.of(), List.of()), 300)
                .isEmpty();
    }
}
