package org.cowslipbank.entry.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.FeedMessages.CacheChangesMessage;
import org.cowslipbank.entry.relay.FeedMessages.CacheStoreAge;
import org.cowslipbank.entry.relay.FeedMessages.ItemMessage;
import org.cowslipbank.entry.relay.FeedMessages.PollAnswer;
import org.cowslipbank.entry.relay.FeedMessages.PollRequest;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Answers the polls of a hub's members with recent changes of the metadata store and the cache stores. A poll without
 * anything new is held until there is a change or its time has passed (long polling). Runs on the traffic thread.
 */
final class HubFeed {
    /** Longest time for which a poll is held. */
    static final long MAX_HOLD_MILLIS = 1_000;

    /** Time for which changes are batched before held polls are answered. */
    static final long BATCH_MILLIS = 100;

    /** Metadata items kept; covers some seconds of registrations when a whole fleet starts. */
    static final int MAX_ITEMS = 600;

    /**
     * Largest value that is passed on. Members read larger ones from the metadata store, because sending a long
     * configuration to a whole group would saturate the hub's link for seconds.
     */
    static final int MAX_VALUE_BYTES = 32 * 1024;

    private final EventLoop loop;
    private final Clocks clocks;
    private final DecisionLog log;
    private final Deque<StoreItem> items = new ArrayDeque<>();
    private final Map<String, CacheStoreFeed> cacheStores = new HashMap<>();
    private final List<HeldPoll> heldPolls = new ArrayList<>();
    private long oldestRevision = Long.MAX_VALUE;
    private long revision;
    private Optional<ConfigurationConfirmation> confirmation = Optional.empty();
    private long reconnectedMillis;
    private boolean answersScheduled;
    private volatile int gaps;

    /** A held poll; its answer is empty if the member has to read the metadata store directly. */
    private record HeldPoll(
            PollRequest poll, LeaderLease.ClockReading receivedAt, MonoSink<Optional<PollAnswer>> sink) {}

    /** Changes and state of one cache store, for the members. */
    private static final class CacheStoreFeed {
        private final CacheChangeLog changes;
        private OptionalLong clockAheadMillis = OptionalLong.empty();
        private LeaderLease.ClockReading answeredAt;
        private long epochSinceMillis;
        private boolean reachable;

        CacheStoreFeed(long firstNumber) {
            changes = new CacheChangeLog(firstNumber);
        }
    }

    HubFeed(EventLoop loop, Clocks clocks, DecisionLog log) {
        this.loop = loop;
        this.clocks = clocks;
        this.log = log;
    }

    /**
     * Adds changes that the metadata store reported.
     *
     * @param fromRevision revision after which the changes begin
     * @param changed the changed items in the order of their revisions
     * @param atRevision revision up to which they are complete
     * @param confirmed when the store was last known to have nothing newer
     * @param reconnectedAtMillis when this node last regained contact with the store, in milliseconds
     */
    void onMetadataChanges(
            long fromRevision,
            List<StoreItem> changed,
            long atRevision,
            ConfigurationConfirmation confirmed,
            long reconnectedAtMillis) {
        if (fromRevision != revision || oldestRevision == Long.MAX_VALUE) {
            restartAt(fromRevision);
        }
        for (StoreItem item : changed) {
            if (item.revision() <= revision) {
                continue;
            }
            if (!item.isRemoved() && item.value().length > MAX_VALUE_BYTES) {
                items.clear();
                oldestRevision = item.revision();
                continue;
            }
            items.addLast(item);
            if (items.size() > MAX_ITEMS) {
                oldestRevision = items.removeFirst().revision();
            }
        }
        revision = Math.max(revision, atRevision);
        confirmation = Optional.of(confirmed);
        reconnectedMillis = reconnectedAtMillis;
        scheduleAnswers();
    }

    /**
     * Begins anew, as changes are complete only within an unbroken sequence. This node also learns of changes from another hub
     * or by reading all items, and does not add those; and the store may have lost some.
     */
    private void restartAt(long fromRevision) {
        if (oldestRevision != Long.MAX_VALUE) {
            gaps++;
            log.logState(LogFields.event("changes for members begin anew")
                    .field("lastRevision", revision)
                    .field("nextFromRevision", fromRevision));
        }
        items.clear();
        oldestRevision = fromRevision;
        revision = fromRevision;
    }

    /** Called when the metadata store is unreachable, or some of its changes were missed. */
    void onMetadataLost() {
        items.clear();
        oldestRevision = Long.MAX_VALUE;
        confirmation = Optional.empty();
        // Release all held polls, so that each member reads the metadata store and judges by its own contact.
        heldPolls.forEach(held -> held.sink().success(Optional.empty()));
        heldPolls.clear();
    }

    /**
     * Adds changes that a cache store reported.
     *
     * @param store the store's name
     * @param answer the changes
     * @param restart true if earlier parts are gone or not known
     * @param epochSinceMillis a time at which the store was already in its epoch, in milliseconds
     */
    void onCacheChanges(String store, CacheChanges answer, boolean restart, long epochSinceMillis) {
        // Numbers start at the time of day, so that they differ from those of an earlier start.
        boolean first = !cacheStores.containsKey(store);
        CacheStoreFeed feed = cacheStores.computeIfAbsent(
                store, key -> new CacheStoreFeed(clocks.wallMillis().getAsLong()));
        if (restart || first) {
            feed.changes.reset(answer.epoch());
        }
        answer.changes().forEach(feed.changes::add);
        // One reading of the clock, so that clock and age together give the clock in the answer.
        feed.answeredAt = clocks.now();
        if (answer.clockMillis().isPresent()) {
            feed.clockAheadMillis =
                    OptionalLong.of(answer.clockMillis().getAsLong() - feed.answeredAt.monotonicMillis());
        }
        feed.epochSinceMillis = epochSinceMillis;
        feed.reachable = true;
        scheduleAnswers();
    }

    /** Called when a cache store no longer answers; members must not use its parts either. */
    void onCacheStoreLost(String store) {
        CacheStoreFeed feed = cacheStores.get(store);
        if (feed != null && feed.reachable) {
            feed.reachable = false;
            scheduleAnswers();
        }
    }

    /**
     * Returns how often changes for members began anew, because this node had learned some in another way. May be called by any
     * thread.
     *
     * @return the number since the node's start
     */
    int gaps() {
        return gaps;
    }

    /**
     * Returns whether this node follows the metadata store.
     *
     * @return false if it has no changes to pass on
     */
    boolean followsMetadataStore() {
        return confirmation.isPresent();
    }

    /**
     * Answers a poll.
     *
     * @param poll the poll
     * @return the answer, empty if the member has to read the metadata store directly
     */
    Mono<Optional<PollAnswer>> poll(PollRequest poll) {
        LeaderLease.ClockReading receivedAt = clocks.now();
        return Mono.create(sink -> loop.execute(() -> answerOrHold(new HeldPoll(poll, receivedAt, sink))));
    }

    private void answerOrHold(HeldPoll held) {
        if (!canAnswer(held.poll()) || hasChanges(held.poll())) {
            held.sink().success(answer(held.poll(), held.receivedAt()));
        } else {
            heldPolls.add(held);
            loop.schedule(() -> answer(held), MAX_HOLD_MILLIS, TimeUnit.MILLISECONDS);
            held.sink().onDispose(() -> loop.execute(() -> heldPolls.remove(held)));
        }
    }

    private void scheduleAnswers() {
        if (!answersScheduled && !heldPolls.isEmpty()) {
            answersScheduled = true;
            loop.schedule(this::answerHeldPolls, BATCH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void answerHeldPolls() {
        answersScheduled = false;
        for (HeldPoll held : List.copyOf(heldPolls)) {
            if (hasChanges(held.poll())) {
                answer(held);
            }
        }
    }

    private void answer(HeldPoll held) {
        if (heldPolls.remove(held)) {
            held.sink().success(answer(held.poll(), held.receivedAt()));
        }
    }

    private boolean canAnswer(PollRequest poll) {
        return confirmation.isPresent() && poll.revision() >= oldestRevision && poll.revision() <= revision;
    }

    private boolean hasChanges(PollRequest poll) {
        if (!canAnswer(poll) || !items.isEmpty() && items.peekLast().revision() > poll.revision()) {
            return true;
        }
        return poll.stores().entrySet().stream().anyMatch(cursor -> {
            CacheStoreFeed feed = cacheStores.get(cursor.getKey());
            boolean reachable = feed != null && feed.reachable;
            return cursor.getValue() == PollRequest.UNREACHABLE
                    ? reachable
                    : !reachable || feed.changes.hasChangesSince(cursor.getValue());
        });
    }

    private Optional<PollAnswer> answer(PollRequest poll, LeaderLease.ClockReading receivedAt) {
        if (!canAnswer(poll)) {
            return Optional.empty();
        }
        LeaderLease.ClockReading now = clocks.now();
        Map<String, CacheChangesMessage> cacheChanges = new HashMap<>();
        Map<String, CacheStoreAge> storeAges = new HashMap<>();
        poll.stores().forEach((name, next) -> {
            CacheStoreFeed feed = cacheStores.get(name);
            if (feed != null && feed.reachable) {
                long nowMillis = now.monotonicMillis();
                cacheChanges.put(
                        name,
                        CacheChangesMessage.of(feed.changes.since(Math.max(0, next), clockMillis(feed, nowMillis))));
                storeAges.put(name, new CacheStoreAge(answerAgeMillis(feed, now), nowMillis - feed.epochSinceMillis));
            }
        });
        return Optional.of(new PollAnswer(
                revision,
                items.stream()
                        .filter(item -> item.revision() > poll.revision())
                        .map(ItemMessage::of)
                        .toList(),
                confirmation.get().ageMillis(now.monotonicMillis(), now.wallMillis()),
                // The smaller time of both clocks, so that the member never takes the answer for newer than it is.
                Math.min(
                        now.monotonicMillis() - receivedAt.monotonicMillis(),
                        now.wallMillis() - receivedAt.wallMillis()),
                now.monotonicMillis() - reconnectedMillis,
                cacheChanges,
                storeAges));
    }

    /** The larger time of both clocks, so that a member never takes the answer for newer than it is. */
    private static long answerAgeMillis(CacheStoreFeed feed, LeaderLease.ClockReading now) {
        return Math.max(
                now.monotonicMillis() - feed.answeredAt.monotonicMillis(),
                now.wallMillis() - feed.answeredAt.wallMillis());
    }

    private static OptionalLong clockMillis(CacheStoreFeed feed, long nowMillis) {
        return feed.clockAheadMillis.isPresent()
                ? OptionalLong.of(nowMillis + feed.clockAheadMillis.getAsLong())
                : OptionalLong.empty();
    }
}
