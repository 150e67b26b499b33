package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.DefaultEventLoop;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.CacheScopeUse;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.entry.relay.FeedMessages.CacheChangesMessage;
import org.cowslipbank.entry.relay.FeedMessages.CacheStoreAge;
import org.cowslipbank.entry.relay.FeedMessages.PollAnswer;
import org.cowslipbank.entry.relay.FeedMessages.PollRequest;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.PromptPart;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

final class CacheStoreFollowerTest {
    private static final CacheChange PART = new CacheChange(true, "s", "p", 10);

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private volatile long firstAskedMillis = Long.MAX_VALUE;
    private volatile long lastAskedMillis;
    private final AtomicBoolean hasHub = new AtomicBoolean();
    private final CacheIndex cacheIndex = new CacheIndex();
    private final PlatformState state;
    private final HubFeed feed = new HubFeed(loop, Clocks.SYSTEM, PlatformStates.log());
    private final Deque<CacheChanges> answers = new ConcurrentLinkedDeque<>();
    private final CacheStoreFollower follower;

    CacheStoreFollowerTest() {
        DecisionLog log = new DecisionLog(Clocks.SYSTEM.monotonic(), DecisionLog.LINES_PER_SECOND);
        state = PlatformStates.create(log);
        state.applySnapshot(new MetadataStore.Range(List.of(configuration(2, false)), 2, 0), 0, Long.MAX_VALUE, 0);
        EngineControl engines = new SilentStores();
        CacheStoreFollower.Sources sources = new CacheStoreFollower.Sources(engines, feed, hasHub::get);
        follower = new CacheStoreFollower(sources, cacheIndex, state::view, loop, Clocks.SYSTEM, log);
    }

    private static StoreItem configuration(long revision, boolean isolated) {
        byte[] value = PlatformStates.configuration(revision, isolated).getBytes(StandardCharsets.UTF_8);
        return new StoreItem("op/config", value, revision, 2, 0);
    }

    /** Cache stores that answer no calls but the first ones, if the test states their answers. */
    private final class SilentStores extends SilentEngines {
        @Override
        public Mono<CacheChanges> cacheChanges(String address, long since, long waitMillis) {
            lastAskedMillis = Clocks.SYSTEM.nowMillis();
            firstAskedMillis = Math.min(firstAskedMillis, lastAskedMillis);
            asked.add(address);
            return answers.isEmpty() ? Mono.never() : Mono.just(answers.remove());
        }
    }

    @AfterTry
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void onHubAnswer(String hub, PollRequest poll, PollAnswer answer) {
        follower.onHubAnswer(hub, poll, answer, Clocks.SYSTEM.now());
    }

    private void onLoop(Runnable step) {
        loop.submit(step).syncUninterruptibly();
    }

    /** Failure guarded against: members whose hub fails use up the twelve calls that a cache store lets wait. */
    @Example
    void membersDoNotCallCacheStores() {
        hasHub.set(true);
        onLoop(follower::refresh);
        onLoop(follower::refresh);
        assert asked.isEmpty() : asked;
    }

    /** Failure guarded against: a member that becomes a hub does not follow the cache stores. */
    @Example
    void newHubCallsTheCacheStores() {
        hasHub.set(true);
        onLoop(follower::refresh);
        hasHub.set(false);
        onLoop(follower::refresh);
        onLoop(follower::refresh);
        assert asked.equals(List.of("10.0.0.1:80")) : asked;
    }

    /** Failure guarded against: a node that is a hub again passes on parts from its earlier time as a hub. */
    @Example
    void partsOfAnEarlierTimeAsHubAreNotPassedOn() throws Exception {
        answers.add(new CacheChanges(7, 5, true, OptionalLong.empty(), List.of(PART)));
        onLoop(follower::refresh);
        assert storesToldToMembers().contains("kept");
        hasHub.set(true);
        onLoop(() -> follower.cursors("hub"));
        hasHub.set(false);
        assert storesToldToMembers().isEmpty();
    }

    private Set<String> storesToldToMembers() throws Exception {
        onLoop(() -> feed.onMetadataChanges(1, List.of(), 2, new ConfigurationConfirmation(0, 0), 0));
        return feed.poll(new PollRequest(1, Map.of("kept", 0L)))
                .toFuture()
                .get(5, TimeUnit.SECONDS)
                .orElseThrow()
                .stores()
                .keySet();
    }

    /**
     * Failure guarded against: a scope was out of use and its parts were freed, the event was lost, and one that is written
     * again is fetched.
     */
    @Example
    void storesAreReadAgainWhenAScopeReturns() throws InterruptedException {
        hasHub.set(true);
        AtomicLong returnedMillis = new AtomicLong();
        onLoop(() -> {
            follower.refresh();
            PollRequest poll = new PollRequest(2, follower.cursors("hub"));
            CacheChanges changes = new CacheChanges(7, 5, true, OptionalLong.empty(), List.of(PART));
            PollAnswer answer =
                    new PollAnswer(2, List.of(), 0, 0, 0, Map.of("kept", CacheChangesMessage.of(changes)), Map.of());
            onHubAnswer("hub", poll, answer);
            state.applyChanges(List.of(configuration(3, false)), 3, 0);
            follower.refresh();
            assert cacheIndex.size() == 1;
            returnedMillis.set(Clocks.SYSTEM.nowMillis());
            state.applyChanges(List.of(configuration(4, true)), 4, 0);
            follower.refresh();
            assert cacheIndex.size() == 0;
            onHubAnswer("hub", poll, answer);
            assert cacheIndex.size() == 0 : "the answer is older than the return";
            assert follower.cursors("hub").equals(Map.of("kept", 0L));
        });
        hasHub.set(false);
        onLoop(follower::refresh);
        onLoop(() -> state.applyChanges(List.of(configuration(5, false)), 5, 0));
        onLoop(follower::refresh);
        while (asked.isEmpty()) {
            Thread.sleep(20);
        }
        // A free that is under way is not carried out after the reading.
        long waitedMillis = lastAskedMillis - returnedMillis.get();
        assert waitedMillis >= CacheScopeUse.ENTRY_DELAY_MILLIS : waitedMillis;
        assert asked.equals(List.of("10.0.0.1:80")) : asked;
    }

    /** Failure guarded against: a hub's changes of a store are lost, or those of an earlier hub are applied. */
    @Example
    void changesFromTheHubAreApplied() {
        hasHub.set(true);
        List<Integer> sizes = new ArrayList<>();
        onLoop(() -> {
            follower.refresh();
            PollRequest poll = new PollRequest(2, follower.cursors("hub"));
            CacheChanges changes = new CacheChanges(7, 5, true, OptionalLong.empty(), List.of(PART));
            PollAnswer answer =
                    new PollAnswer(2, List.of(), 0, 0, 0, Map.of("kept", CacheChangesMessage.of(changes)), Map.of());
            onHubAnswer("earlier", poll, answer);
            sizes.add(cacheIndex.size());
            onHubAnswer("hub", poll, answer);
            sizes.add(cacheIndex.size());
            assert follower.cursors("hub").equals(Map.of("kept", 5L));
            onHubAnswer("hub", poll, new PollAnswer(2, List.of(), 0, 0, 0, Map.of(), Map.of()));
            sizes.add(cacheIndex.size());
            assert follower.cursors("hub").equals(Map.of("kept", PollRequest.UNREACHABLE));
        });
        assert sizes.equals(List.of(0, 1, 0)) : sizes;
    }

    /** Returns a hub's answer of a time on the upstreams' clock, with the store's part, in which the store has an epoch. */
    private static PollAnswer ofHub(long epoch, long clockMillis, Map<String, CacheStoreAge> ages) {
        CacheChanges changes = new CacheChanges(epoch, 5, true, OptionalLong.of(clockMillis), List.of(PART));
        return new PollAnswer(2, List.of(), 0, 0, 0, Map.of("kept", CacheChangesMessage.of(changes)), ages);
    }

    /** Plans a fetch; returns when the lease of the store's answer ends, on the upstreams' clock in milliseconds. */
    private OptionalLong leaseEndMillis() {
        List<PromptPart> parts = List.of(new PromptPart(PART.partId(), PART.tokens()), new PromptPart("own", 1));
        List<CacheStore> stores = List.of(new CacheStore("kept", "10.0.0.1:80", "a", 1_000, 8, true));
        long nowMillis = Clocks.SYSTEM.nowMillis();
        CacheIndex.Plan plan = cacheIndex.plan(PART.scope(), parts, stores, nowMillis);
        return cacheIndex.fetchDeadlineMillis(plan, nowMillis + 60_000);
    }

    /** Failure guarded against: a member fetches by what its hub knew of a store long ago, after the store's restart. */
    @Example
    void leaseCountsFromTheStoresAnswerToTheHub() {
        hasHub.set(true);
        onLoop(() -> {
            follower.refresh();
            PollRequest poll = new PollRequest(2, follower.cursors("hub"));
            onHubAnswer("hub", poll, ofHub(7, 90_000, Map.of("kept", new CacheStoreAge(900, 60_000))));
            long statedMillis = leaseEndMillis().orElseThrow();
            assert statedMillis == 90_000 - 900 + CacheIndex.ANSWER_VALID_MILLIS + CacheIndex.FETCH_TIMEOUT_MILLIS
                    : statedMillis;
            long knownMillis = cacheIndex
                    .epochKnownMillis("10.0.0.1:80", Clocks.SYSTEM.nowMillis())
                    .orElseThrow();
            assert knownMillis >= 60_000 : knownMillis;
            onHubAnswer("hub", poll, ofHub(7, 90_000, Map.of()));
            assert leaseEndMillis().orElseThrow() < statedMillis : "a hub of an earlier release does not tell the age";
        });
    }

    /** Failure guarded against: a member that changes its hub uses the parts of before a restart again. */
    @Example
    void hubThatHasNotNoticedARestartIsNotFollowed() {
        hasHub.set(true);
        onLoop(() -> {
            follower.refresh();
            CacheStoreAge age = new CacheStoreAge(900, 60_000);
            PollRequest poll = new PollRequest(2, follower.cursors("hub"));
            onHubAnswer("hub", poll, ofHub(8, 90_000, Map.of("kept", new CacheStoreAge(10, 20))));
            PollRequest other = new PollRequest(2, follower.cursors("other"));
            onHubAnswer("other", other, ofHub(7, 90_500, Map.of("kept", age)));
            assert cacheIndex.size() == 0;
            onHubAnswer("other", other, ofHub(9, 91_000, Map.of("kept", new CacheStoreAge(0, 0))));
            assert cacheIndex.size() == 1 : "the store has restarted again";
        });
    }

    /** Failure guarded against: a store that restarts under the same number of its epoch is written to at once. */
    @Example
    void numbersThatGoBackTellOfARestart() throws InterruptedException {
        answers.add(new CacheChanges(7, 5, true, OptionalLong.of(90_000), List.of(PART)));
        answers.add(new CacheChanges(7, 1, false, OptionalLong.of(90_400), List.of()));
        onLoop(follower::refresh);
        while (asked.size() < 3) {
            Thread.sleep(20);
        }
        onLoop(() -> {
            long nowMillis = Clocks.SYSTEM.nowMillis();
            assert cacheIndex.size() == 0;
            long knownMillis =
                    cacheIndex.epochKnownMillis("10.0.0.1:80", nowMillis).orElseThrow();
            assert knownMillis < nowMillis - firstAskedMillis : knownMillis;
        });
    }

    /** Failure guarded against: an answer that waited in the socket while the VM was suspended counts as new. */
    @Example
    void answerThatWaitedDuringASuspensionIsNotUsed() {
        hasHub.set(true);
        onLoop(() -> {
            follower.refresh();
            PollRequest poll = new PollRequest(2, follower.cursors("hub"));
            PollAnswer answer = ofHub(7, 90_000, Map.of());
            LeaderLease.ClockReading now = Clocks.SYSTEM.now();
            LeaderLease.ClockReading beforeSuspension =
                    new LeaderLease.ClockReading(now.monotonicMillis(), now.wallMillis() - 2_000);
            follower.onHubAnswer("hub", poll, answer, beforeSuspension);
            assert cacheIndex.size() == 0;
            follower.onHubAnswer("hub", poll, answer, now);
            assert cacheIndex.size() == 1;
        });
    }
}
