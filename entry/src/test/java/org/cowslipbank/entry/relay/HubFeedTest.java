package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.DefaultEventLoop;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.entry.relay.FeedMessages.PollAnswer;
import org.cowslipbank.entry.relay.FeedMessages.PollRequest;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;

final class HubFeedTest {
    private static final CacheChange PART = new CacheChange(true, "s", "p", 10);
    private static final long WALL_MILLIS = 1_000_000;

    /** The upstreams' clock in answers of the cache store. */
    private static final long CLOCK_MILLIS = 500_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final AtomicLong millis = new AtomicLong(10_000);
    /** Time for which the VM was suspended, which its monotonic clock does not count. */
    private final AtomicLong suspendedMillis = new AtomicLong();

    private final HubFeed feed = new HubFeed(
            loop,
            new Clocks(millis::get, () -> WALL_MILLIS + millis.get() + suspendedMillis.get()),
            PlatformStates.log());

    @AfterTry
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void onLoop(Runnable step) {
        loop.submit(step).syncUninterruptibly();
    }

    private void cacheChanges(long epoch, boolean restart, List<CacheChange> changes) {
        onLoop(() -> feed.onCacheChanges(
                "store", new CacheChanges(epoch, 1, false, OptionalLong.of(CLOCK_MILLIS), changes), restart, 0));
    }

    private void metadataChanges(long from, long at, StoreItem... items) {
        ConfigurationConfirmation confirmed = new ConfigurationConfirmation(millis.get(), WALL_MILLIS + millis.get());
        onLoop(() -> feed.onMetadataChanges(from, List.of(items), at, confirmed, 0));
    }

    private static StoreItem item(String key, String value, long revision) {
        return new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), revision, revision, 0);
    }

    private CompletableFuture<Optional<PollAnswer>> poll(long revision, Map<String, Long> stores) {
        CompletableFuture<Optional<PollAnswer>> answer =
                feed.poll(new PollRequest(revision, stores)).toFuture();
        onLoop(() -> {});
        return answer;
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(5, TimeUnit.SECONDS);
    }

    /** Failure guarded against: a member whose poll is held gets a new part only with its next poll. */
    @Example
    void heldPollsAreAnswered() throws Exception {
        metadataChanges(4, 5);
        cacheChanges(7, false, List.of());
        long number = get(poll(5, Map.of("store", 0L)))
                .orElseThrow()
                .stores()
                .get("store")
                .next();
        CompletableFuture<Optional<PollAnswer>> waiting = poll(5, Map.of("store", number));
        cacheChanges(7, false, List.of(PART));
        FeedMessages.CacheChangesMessage changes =
                get(waiting).orElseThrow().stores().get("store");
        assert changes.decode().changes().equals(List.of(PART)) && !changes.lost() : changes;
    }

    /** Failure guarded against: members keep fetching from a cache store that the hub can no longer reach. */
    @Example
    void lossOfACacheStoreIsPassedOn() throws Exception {
        metadataChanges(4, 5);
        cacheChanges(7, false, List.of(PART));
        long number = get(poll(5, Map.of("store", 0L)))
                .orElseThrow()
                .stores()
                .get("store")
                .next();
        CompletableFuture<Optional<PollAnswer>> waiting = poll(5, Map.of("store", number));
        onLoop(() -> feed.onCacheStoreLost("store"));
        assert get(waiting).orElseThrow().stores().isEmpty();
        CompletableFuture<Optional<PollAnswer>> afterLoss = poll(5, Map.of("store", PollRequest.UNREACHABLE));
        assert !afterLoss.isDone() : "a poll of a member that knows of the loss is answered at once";
        cacheChanges(8, true, List.of());
        assert get(afterLoss).orElseThrow().stores().containsKey("store");
    }

    /** Failure guarded against: a hub that does not follow a cache store answers as if the store were empty. */
    @Example
    void unknownCacheStoreIsNotInTheAnswer() throws Exception {
        metadataChanges(4, 5);
        assert get(poll(5, Map.of("other", 0L))).orElseThrow().stores().isEmpty();
    }

    /** Failure guarded against: parts from before a store's restart are passed on after it. */
    @Example
    void partsFromBeforeARestartAreDropped() throws Exception {
        metadataChanges(4, 5);
        cacheChanges(7, false, List.of(PART));
        cacheChanges(8, true, List.of());
        FeedMessages.CacheChangesMessage changes =
                get(poll(5, Map.of("store", 0L))).orElseThrow().stores().get("store");
        assert changes.epoch() == 8 && changes.changes().isEmpty() : changes;
    }

    /** Failure guarded against: a member misses a change of the metadata store, or gets one twice. */
    @Example
    void changesAfterTheRevisionAreSent() throws Exception {
        metadataChanges(4, 6, item("a", "1", 5), item("b", "1", 6));
        CompletableFuture<Optional<PollAnswer>> waiting = poll(6, Map.of());
        metadataChanges(6, 8, item("a", "2", 8));
        PollAnswer answer = get(waiting).orElseThrow();
        assert answer.revision() == 8 && answer.items().size() == 1;
        assert answer.items().get(0).revision() == 8;
        assert get(poll(4, Map.of())).orElseThrow().items().size() == 3;
    }

    /** Failure guarded against: a member that is further behind than the hub's history gets incomplete changes. */
    @Example
    void memberTooFarBehindMustReadTheMetadataStore() throws Exception {
        metadataChanges(4, 6, item("a", "1", 5), item("b", "1", 6));
        assert get(poll(3, Map.of())).isEmpty();
        onLoop(feed::onMetadataLost);
        assert get(poll(6, Map.of())).isEmpty();
        assert !feed.followsMetadataStore();
    }

    /** Failure guarded against: sending a long configuration to a whole group saturates the hub's link for seconds. */
    @Example
    void largeValuesAreNotPassedOn() throws Exception {
        metadataChanges(4, 6, item("a", "1", 5), item("b", "x".repeat(HubFeed.MAX_VALUE_BYTES + 1), 6));
        assert get(poll(5, Map.of())).isEmpty();
        CompletableFuture<Optional<PollAnswer>> after = poll(6, Map.of());
        metadataChanges(6, 7, item("c", "1", 7));
        assert get(after).orElseThrow().items().size() == 1;
    }

    /** Failure guarded against: a member learns of a long configuration only when its held poll expires. */
    @Example
    void heldPollIsAnsweredWhenAValueIsTooLargeToPassOn() throws Exception {
        metadataChanges(4, 5);
        CompletableFuture<Optional<PollAnswer>> held = poll(5, Map.of());
        assert !held.isDone();
        metadataChanges(5, 6, item("b", "x".repeat(HubFeed.MAX_VALUE_BYTES + 1), 6));
        assert held.get(HubFeed.MAX_HOLD_MILLIS / 2, TimeUnit.MILLISECONDS).isEmpty();
    }

    /** Failure guarded against: heartbeats of hundreds of upstreams, which change nothing, wake all members. */
    @Example
    void revisionWithoutDifferencesLeavesPollsHeld() throws Exception {
        metadataChanges(4, 6, item("a", "1", 5));
        CompletableFuture<Optional<PollAnswer>> held = poll(6, Map.of());
        metadataChanges(6, 9);
        Thread.sleep(HubFeed.MAX_HOLD_MILLIS / 2);
        assert !held.isDone();
        PollAnswer answer = get(held).orElseThrow();
        assert answer.revision() == 9 && answer.items().isEmpty() : answer;
    }

    /** Failure guarded against: members of a hub that lost the metadata store accept keys that have been revoked. */
    @Example
    void confirmationAgeIsSent() throws Exception {
        metadataChanges(4, 5);
        millis.addAndGet(1_300);
        PollAnswer answer = get(poll(3 + 1, Map.of())).orElseThrow();
        assert answer.confirmedAgeMillis() == 1_300 && answer.heldMillis() == 0 : answer;
    }

    /** Failure guarded against: a member takes what the hub knows of a cache store for as new as the hub's answer. */
    @Example
    void ageOfACacheStoresAnswerIsSent() throws Exception {
        metadataChanges(4, 5);
        cacheChanges(7, false, List.of(PART));
        millis.addAndGet(700);
        PollAnswer answer = get(poll(5, Map.of("store", 0L))).orElseThrow();
        FeedMessages.CacheStoreAge age = answer.storeAges().get("store");
        assert age.equals(new FeedMessages.CacheStoreAge(700, 10_700)) : age;
        long clockMillis = answer.stores().get("store").clockMillis();
        assert clockMillis - age.answerMillis() == CLOCK_MILLIS : clockMillis;
        suspendedMillis.set(4_000);
        age = get(poll(5, Map.of("store", 0L))).orElseThrow().storeAges().get("store");
        assert age.answerMillis() == 4_700 : "suspended: " + age;
        onLoop(() -> feed.onCacheStoreLost("store"));
        assert get(poll(5, Map.of("store", 0L))).orElseThrow().storeAges().isEmpty();
    }

    /** Failure guarded against: a field of a message is lost on the wire. */
    @Example
    void messagesAreDecodedAsTheyWereEncoded() throws Exception {
        metadataChanges(4, 6, item("a", "1", 5), new StoreItem("b", null, 6, 0, 0));
        cacheChanges(7, false, List.of(PART));
        PollAnswer answer = get(poll(4, Map.of("store", 0L))).orElseThrow();
        PollAnswer decoded = FeedMessages.decodePollAnswer(FeedMessages.encode(answer));
        assert decoded.stores().equals(answer.stores());
        assert decoded.storeAges().equals(answer.storeAges())
                        && !answer.storeAges().isEmpty()
                : decoded;
        assert decoded.items().get(1).decode().isRemoved();
        assert new String(decoded.items().get(0).decode().value(), StandardCharsets.UTF_8).equals("1");
        PollRequest poll = new PollRequest(4, Map.of("store", PollRequest.UNREACHABLE));
        assert FeedMessages.decodePollRequest(FeedMessages.encode(poll)).equals(poll);
    }
}
