package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import io.netty.channel.DefaultEventLoop;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.statistics.Statistics;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.entry.relay.FeedMessages.ItemMessage;
import org.cowslipbank.entry.relay.FeedMessages.PollAnswer;
import org.cowslipbank.entry.relay.FeedMessages.PollRequest;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.platform.MetadataItemDecoder;
import org.cowslipbank.ports.relay.MetadataStore.Changes;

/**
 * Failure guarded against: a member of a hub misses changes of the metadata store, and its knowledge counts as confirmed all
 * the same. It then refuses a route that was added, or lets a stream go on at another software version.
 */
final class HubHistoryTest {
    private static final int STEPS = 60;
    /** One of so many changes is the registration of another engine. */
    private static final int REGISTRATION_INTERVAL = 3;

    private static final long MAX_PAUSE_MILLIS = 600;
    private static final DefaultEventLoop LOOP = new DefaultEventLoop();

    /** What happens next to the node that is observed. */
    private enum Action {
        /** The store changes, and tells nobody yet. */
        WRITE,
        /** The store answers the node's oldest call. */
        ANSWER_OLDEST,
        /** The store answers the node's newest call. */
        ANSWER_NEWEST,
        /** The store no longer has the changes that the node's oldest call asks for. */
        COMPACT,
        /** The node's oldest call fails. */
        FAIL,
        /** Another node becomes this node's hub. */
        FOLLOW,
        /** That node answers a poll. */
        HUB_ANSWERS,
        /** The node has no other hub any more. */
        LEAD,
        /** A stream is taken up at the node. */
        REFRESH,
        /** Time passes. */
        PAUSE,
        /** A member polls the node. */
        POLL
    }

    /**
     * A step.
     *
     * @param action what happens
     * @param amount by how much, from 0 to 9
     */
    private record Step(Action action, int amount) {}

    /** A node beside a metadata store that answers when the test says so. Each revision of the store has one item. */
    private static final class Hub implements PlatformWatcher.Listener {
        private final ManualScheduler control = new ManualScheduler(10_000);
        private final Clocks clocks = new Clocks(control::nowMillis, control::nowMillis);
        private final DecisionLog log = PlatformStates.log();
        private final PausedMetadataStore store = new PausedMetadataStore();
        private final HubFeed feed = new HubFeed(LOOP, clocks, log);
        private final PlatformWatcher watcher = new PlatformWatcher(
                store, new MetadataItemDecoder(), PlatformStates.create(log), clocks, control, log, this);
        /** When each change was written, in the order of the revisions from 2 on. */
        private final List<Long> writtenMillis = new ArrayList<>();

        private boolean follows;
        private int answers;

        Hub() {
            write(1);
            watcher.start();
            store.answer(0);
        }

        private void write(int count) {
            for (int index = 0; index < count; index++) {
                if (store.revision() % REGISTRATION_INTERVAL == 0) {
                    registerEngine((int) store.revision(), "v1");
                    continue;
                }
                String model = "m" + (store.revision() + 1);
                put("op/version/" + model, "{\"Model\":\"" + model + "\",\"Version\":1}");
            }
        }

        private void put(String key, String value) {
            long revision = store.revision() + 1;
            store.write(new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), revision, revision, 0));
            writtenMillis.add(control.nowMillis());
        }

        private void registerEngine(int number, String softwareVersion) {
            String value =
                    """
                    {"Service":"llm","Address":"10.0.0.%d:80","Zone":"a","Slots":16,"State":"ready","born":1,"Version":"%s",
                     "Models":[{"Name":"m","Version":1}]}
                    """;
            put("servers/i-" + number, value.formatted(number, softwareVersion));
        }

        private void run(Step step) {
            switch (step.action()) {
                case WRITE -> write(1 + step.amount() / 3);
                case ANSWER_OLDEST -> store.answer(0);
                case ANSWER_NEWEST -> store.answer(store.calls() - 1);
                case COMPACT -> store.loseHistory();
                case FAIL -> store.fail(0);
                case FOLLOW -> setFollows(true);
                case HUB_ANSWERS -> answerAsHub(step.amount());
                case LEAD -> setFollows(false);
                case REFRESH -> watcher.refresh();
                case PAUSE -> control.advance(step.amount() * MAX_PAUSE_MILLIS / 9);
                default -> poll(step.amount());
            }
        }

        private void setFollows(boolean hasOtherHub) {
            follows = hasOtherHub;
        }

        /** Tells the changes up to a revision that is up to three behind the store's. */
        private void answerAsHub(int amount) {
            long known = watcher.view().revision();
            long told = Math.max(known, store.revision() - amount / 3);
            List<ItemMessage> items = store.changes(known).items().stream()
                    .filter(item -> item.revision() <= told)
                    .map(ItemMessage::of)
                    .toList();
            if (follows && known > 0) {
                watcher.onHubAnswer(new PollAnswer(told, items, 0, 0, 0, Map.of(), Map.of()), clocks.now());
            }
        }

        private void poll(int behind) {
            long from = Math.max(1, store.revision() - behind);
            answer(from).ifPresent(answer -> check(from, answer));
        }

        private Optional<PollAnswer> answer(long from) {
            CompletableFuture<Optional<PollAnswer>> polled =
                    feed.poll(new PollRequest(from, Map.of())).toFuture();
            LOOP.submit(() -> {}).syncUninterruptibly();
            // A poll that is held has nothing new.
            Optional<PollAnswer> answer = polled.getNow(Optional.empty());
            polled.cancel(false);
            LOOP.submit(() -> {}).syncUninterruptibly();
            return answer;
        }

        private void check(long from, PollAnswer answer) {
            answers++;
            List<Long> told = answer.items().stream().map(ItemMessage::revision).toList();
            List<Long> due =
                    LongStream.rangeClosed(from + 1, answer.revision()).boxed().toList();
            assert told.equals(due)
                    : "a member at " + from + " got " + told + " of the changes to " + answer.revision();
            long confirmedMillis = control.nowMillis() - answer.confirmedAgeMillis();
            long confirmed = 1
                    + writtenMillis.stream()
                            .filter(millis -> millis < confirmedMillis)
                            .count();
            assert confirmed <= answer.revision() : "revision " + answer.revision() + " confirmed past " + confirmed;
        }

        @Override
        public void onView(PlatformView view) {}

        @Override
        public boolean followsHub() {
            return follows;
        }

        @Override
        public void onChanges(
                long fromRevision, Changes changes, ConfigurationConfirmation confirmed, long reconnectedMillis) {
            LOOP.submit(() -> feed.onMetadataChanges(
                            fromRevision, changes.items(), changes.revision(), confirmed, reconnectedMillis))
                    .syncUninterruptibly();
        }

        @Override
        public void onChangesMissed() {
            LOOP.submit(feed::onMetadataLost).syncUninterruptibly();
        }

        @Override
        public void onStoreRestored(boolean firstReading) {}
    }

    @AfterContainer
    static void stop() {
        LOOP.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static Hub run(Step... steps) {
        Hub hub = new Hub();
        List.of(steps).forEach(hub::run);
        return hub;
    }

    private static Step step(Action action) {
        return new Step(action, 0);
    }

    private static Step pollFrom(int behind) {
        return new Step(Action.POLL, behind);
    }

    /** The node leads again before its call from before has returned, so that it never noticed that it followed. */
    @Example
    void changesThatTheNodeLearnedFromAnotherHubArePassedOn() {
        run(
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                new Step(Action.PAUSE, 9),
                step(Action.FOLLOW),
                step(Action.WRITE),
                step(Action.HUB_ANSWERS),
                step(Action.LEAD),
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                pollFrom(2));
    }

    /** A call returns while the node asks another hub that does not answer. */
    @Example
    void changesThatCameWhileTheNodeFollowedAnotherHubArePassedOn() {
        run(
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                new Step(Action.PAUSE, 9),
                step(Action.FOLLOW),
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                step(Action.LEAD),
                new Step(Action.PAUSE, 9),
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                pollFrom(2));
    }

    /** The member would let every stream go on at the software version that it takes for the only one. */
    @Example
    void memberLearnsOfASoftwareVersionThatCameMeanwhile() {
        Hub hub = new Hub();
        hub.put("op/config", RelaySystem.configuration(1, "\"key\""));
        hub.registerEngine(1, "v1");
        hub.run(step(Action.ANSWER_OLDEST));
        hub.run(new Step(Action.PAUSE, 9));
        StreamOrigins origins = new StreamOrigins("n1");
        PlatformState member = PlatformStates.create(origins, PlatformStates.log());
        long memberRevision = hub.store.revision();
        member.applyChanges(hub.store.changes(1).items(), memberRevision, 0);
        member.recordSoftwareVersions(0);
        assert origins.onlyVersion("llm", 0).equals(Optional.of("v1"));
        hub.run(step(Action.FOLLOW));
        hub.registerEngine(2, "v2");
        hub.run(step(Action.ANSWER_OLDEST));
        hub.run(step(Action.LEAD));
        hub.run(new Step(Action.PAUSE, 9));
        hub.run(step(Action.WRITE));
        hub.run(step(Action.ANSWER_OLDEST));
        // A member without an answer reads the metadata store.
        List<StoreItem> told = hub.answer(memberRevision)
                .map(answer -> answer.items().stream().map(ItemMessage::decode).toList())
                .orElseGet(() -> hub.store.changes(memberRevision).items());
        member.applyChanges(told, hub.store.revision(), 0);
        member.recordSoftwareVersions(0);
        assert origins.onlyVersion("llm", 0).isEmpty();
    }

    /** A call on behalf of a stream that is taken up returns beside a reading of all items. */
    @Example
    void changesOfACompleteReadingArePassedOn() {
        run(
                step(Action.REFRESH),
                step(Action.PAUSE),
                step(Action.WRITE),
                step(Action.ANSWER_NEWEST),
                step(Action.COMPACT),
                step(Action.ANSWER_OLDEST),
                step(Action.REFRESH),
                new Step(Action.PAUSE, 1),
                step(Action.WRITE),
                step(Action.ANSWER_NEWEST),
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                pollFrom(2));
    }

    /** A reading of several pages has a change that is later than its revision; the next watch brings it again. */
    @Example
    void registrationThatAReadingHadAlreadyIsPassedOn() {
        Hub hub = run(step(Action.WRITE), step(Action.COMPACT), step(Action.ANSWER_OLDEST));
        hub.registerEngine(1, "v1");
        hub.run(step(Action.ANSWER_OLDEST));
        hub.run(step(Action.ANSWER_OLDEST));
        hub.run(new Step(Action.PAUSE, 9));
        hub.run(step(Action.WRITE));
        hub.run(step(Action.ANSWER_OLDEST));
        hub.run(pollFrom(2));
    }

    /** Failure guarded against: the checks above hold because members get no answer. */
    @Example
    void membersOfAHubThatStaysOneAreAnswered() {
        Hub hub = run(
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                new Step(Action.PAUSE, 9),
                step(Action.WRITE),
                step(Action.ANSWER_OLDEST),
                pollFrom(2));
        assert hub.answers == 1 : hub.answers;
    }

    @Property(tries = 2_000, seed = "50")
    void memberGetsEachChangeUpToTheRevisionThatIsConfirmed(@ForAll("steps") List<Step> steps) {
        Hub hub = run(steps.toArray(Step[]::new));
        Statistics.label("answered").collect(hub.answers > 0);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Action> actions = Arbitraries.frequency(
                Tuple.of(4, Action.WRITE),
                Tuple.of(6, Action.ANSWER_OLDEST),
                Tuple.of(2, Action.ANSWER_NEWEST),
                Tuple.of(1, Action.COMPACT),
                Tuple.of(1, Action.FAIL),
                Tuple.of(1, Action.FOLLOW),
                Tuple.of(1, Action.HUB_ANSWERS),
                Tuple.of(2, Action.LEAD),
                Tuple.of(2, Action.REFRESH),
                Tuple.of(6, Action.PAUSE),
                Tuple.of(8, Action.POLL));
        return actions.flatMap(action -> Arbitraries.integers().between(0, 9).map(amount -> new Step(action, amount)))
                .list()
                .ofSize(STEPS);
    }
}
