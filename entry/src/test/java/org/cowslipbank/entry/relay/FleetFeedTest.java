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
import org.cowslipbank.decision.relay.Confirmation;
import org.cowslipbank.entry.relay.FeedMessages.Answer;
import org.cowslipbank.entry.relay.FeedMessages.Question;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.EngineControl.CacheChange;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;

final class FleetFeedTest {
    private static final CacheChange PART = new CacheChange(true, "s", "p", 10);
    private static final long WALL_MILLIS = 1_000_000;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final AtomicLong millis = new AtomicLong(10_000);
    private final FleetFeed feed = new FleetFeed(loop, new Clocks(millis::get, () -> WALL_MILLIS + millis.get()));

    @AfterTry
    void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void onLoop(Runnable step) {
        loop.submit(step).syncUninterruptibly();
    }

    private void storeChanges(long epoch, boolean restart, List<CacheChange> changes) {
        onLoop(() -> feed.onStore("store", new CacheChanges(epoch, 1, false, OptionalLong.empty(), changes), restart));
    }

    private void platformChanges(long from, long at, StoreItem... items) {
        Confirmation confirmed = new Confirmation(millis.get(), WALL_MILLIS + millis.get());
        onLoop(() -> feed.onPlatform(from, List.of(items), at, confirmed, 0));
    }

    private static StoreItem item(String key, String value, long revision) {
        return new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), revision, revision, 0);
    }

    private CompletableFuture<Optional<Answer>> ask(long revision, Map<String, Long> stores) {
        CompletableFuture<Optional<Answer>> answer =
                feed.ask(new Question(revision, stores)).toFuture();
        onLoop(() -> {});
        return answer;
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(5, TimeUnit.SECONDS);
    }

    /** Failure guarded against: a waiting member hears of a part only with its next question. */
    @Example
    void waitingMembersAreAnswered() throws Exception {
        platformChanges(4, 5);
        storeChanges(7, false, List.of());
        long number = get(ask(5, Map.of("store", 0L)))
                .orElseThrow()
                .stores()
                .get("store")
                .next();
        CompletableFuture<Optional<Answer>> waiting = ask(5, Map.of("store", number));
        storeChanges(7, false, List.of(PART));
        FeedMessages.Parts parts = get(waiting).orElseThrow().stores().get("store");
        assert parts.decode().changes().equals(List.of(PART)) && !parts.lost() : parts;
    }

    /** Failure guarded against: members go on fetching from a cache store that the hub has lost. */
    @Example
    void lossOfACacheStoreIsPassedOn() throws Exception {
        platformChanges(4, 5);
        storeChanges(7, false, List.of(PART));
        long number = get(ask(5, Map.of("store", 0L)))
                .orElseThrow()
                .stores()
                .get("store")
                .next();
        CompletableFuture<Optional<Answer>> waiting = ask(5, Map.of("store", number));
        onLoop(() -> feed.onStoreLost("store"));
        assert get(waiting).orElseThrow().stores().isEmpty();
        CompletableFuture<Optional<Answer>> told = ask(5, Map.of("store", Question.LOST));
        assert !told.isDone() : "a member that knows of the loss is answered again and again";
        storeChanges(8, true, List.of());
        assert get(told).orElseThrow().stores().containsKey("store");
    }

    /** Failure guarded against: a hub that does not follow a cache store answers as if the store were empty. */
    @Example
    void unknownCacheStoreIsNotInTheAnswer() throws Exception {
        platformChanges(4, 5);
        assert get(ask(5, Map.of("other", 0L))).orElseThrow().stores().isEmpty();
    }

    /** Failure guarded against: parts of a store's earlier lifetime are passed on after its restart. */
    @Example
    void partsOfAnEarlierLifetimeAreForgotten() throws Exception {
        platformChanges(4, 5);
        storeChanges(7, false, List.of(PART));
        storeChanges(8, true, List.of());
        FeedMessages.Parts parts =
                get(ask(5, Map.of("store", 0L))).orElseThrow().stores().get("store");
        assert parts.epoch() == 8 && parts.changes().isEmpty() : parts;
    }

    /** Failure guarded against: a member misses a change of the metadata store, or gets one twice. */
    @Example
    void changesAfterTheRevisionAreTold() throws Exception {
        platformChanges(4, 6, item("a", "1", 5), item("b", "1", 6));
        CompletableFuture<Optional<Answer>> waiting = ask(6, Map.of());
        platformChanges(6, 8, item("a", "2", 8));
        Answer answer = get(waiting).orElseThrow();
        assert answer.revision() == 8 && answer.items().size() == 1;
        assert answer.items().get(0).revision() == 8;
        assert get(ask(4, Map.of())).orElseThrow().items().size() == 3;
    }

    /** Failure guarded against: a member that is further behind than the hub's memory is told a part of the changes. */
    @Example
    void memberThatIsTooFarBehindAsksTheStoreItself() throws Exception {
        platformChanges(4, 6, item("a", "1", 5), item("b", "1", 6));
        assert get(ask(3, Map.of())).isEmpty();
        onLoop(feed::onPlatformLost);
        assert get(ask(6, Map.of())).isEmpty();
        assert !feed.reachesStore();
    }

    /** Failure guarded against: a group's worth of a long configuration fills the hub's link for seconds. */
    @Example
    void longValuesAreLeftToTheStore() throws Exception {
        platformChanges(4, 6, item("a", "1", 5), item("b", "x".repeat(FleetFeed.MAX_VALUE_BYTES + 1), 6));
        assert get(ask(5, Map.of())).isEmpty();
        CompletableFuture<Optional<Answer>> after = ask(6, Map.of());
        platformChanges(6, 7, item("c", "1", 7));
        assert get(after).orElseThrow().items().size() == 1;
    }

    /** Failure guarded against: a hub that was cut off lets its members accept keys that were revoked meanwhile. */
    @Example
    void ageOfTheConfirmationIsTold() throws Exception {
        platformChanges(4, 5);
        millis.addAndGet(1_300);
        Answer answer = get(ask(3 + 1, Map.of())).orElseThrow();
        assert answer.confirmedAgeMillis() == 1_300 && answer.heldMillis() == 0 : answer;
    }

    /** Failure guarded against: a field of a message is lost on the wire. */
    @Example
    void messagesAreDecodedAsTheyWereEncoded() throws Exception {
        platformChanges(4, 6, item("a", "1", 5), new StoreItem("b", null, 6, 0, 0));
        storeChanges(7, false, List.of(PART));
        Answer answer = get(ask(4, Map.of("store", 0L))).orElseThrow();
        Answer decoded = FeedMessages.decodeAnswer(FeedMessages.encode(answer));
        assert decoded.stores().equals(answer.stores());
        assert decoded.items().get(1).decode().isRemoved();
        assert new String(decoded.items().get(0).decode().value(), StandardCharsets.UTF_8).equals("1");
        Question question = new Question(4, Map.of("store", Question.LOST));
        assert FeedMessages.decodeQuestion(FeedMessages.encode(question)).equals(question);
    }
}
