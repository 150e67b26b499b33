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
import org.cowslipbank.decision.relay.Confirmation;
import org.cowslipbank.decision.relay.OrderTurn;
import org.cowslipbank.entry.relay.FeedMessages.Answer;
import org.cowslipbank.entry.relay.FeedMessages.Item;
import org.cowslipbank.entry.relay.FeedMessages.Parts;
import org.cowslipbank.entry.relay.FeedMessages.Question;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * What a hub has heard from the metadata store and the cache stores, for the members of its group. A question waits
 * until there is something new. Runs on the traffic thread.
 */
final class FleetFeed {
    /** Longest time for which a question is held. */
    static final long WAIT_MILLIS = 1_000;

    /** Changes are gathered for this time, so that a waiting member is not answered for each one. */
    static final long GATHER_MILLIS = 100;

    /** Items of the metadata store that are kept: some seconds of registrations when a whole fleet starts. */
    static final int MAX_ITEMS = 600;

    /**
     * Largest value that is passed on; members read larger ones from the metadata store itself, because a group's
     * worth of a long configuration would fill a hub's link for seconds.
     */
    static final int MAX_VALUE_BYTES = 32 * 1024;

    private final EventLoop loop;
    private final Clocks clocks;
    private final Deque<StoreItem> items = new ArrayDeque<>();
    private final Map<String, StoreLog> stores = new HashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private long oldestRevision = Long.MAX_VALUE;
    private long revision;
    private Optional<Confirmation> confirmation = Optional.empty();
    private long contactBackMillis;
    private boolean gathering;

    /** A question that waits; the answer is empty if the member has to ask the metadata store itself. */
    private record Waiter(Question question, OrderTurn.Moment since, MonoSink<Optional<Answer>> sink) {}

    /** What is passed on of one cache store. */
    private static final class StoreLog {
        private final CacheLog changes;
        private OptionalLong clockAheadMillis = OptionalLong.empty();
        private boolean reached;

        StoreLog(long firstNumber) {
            changes = new CacheLog(firstNumber);
        }
    }

    FleetFeed(EventLoop loop, Clocks clocks) {
        this.loop = loop;
        this.clocks = clocks;
    }

    /**
     * Takes what the metadata store answered.
     *
     * @param fromRevision revision after which the changes begin
     * @param changed the changed items in the order of their revisions
     * @param atRevision revision up to which they go
     * @param confirmed when nothing newer existed
     * @param backMillis when the store came back into reach, in milliseconds
     */
    void onPlatform(
            long fromRevision, List<StoreItem> changed, long atRevision, Confirmation confirmed, long backMillis) {
        if (oldestRevision == Long.MAX_VALUE) {
            oldestRevision = fromRevision;
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
        contactBackMillis = backMillis;
        gather();
    }

    /** The metadata store is out of reach, or its changes are no longer known one by one. */
    void onPlatformLost() {
        items.clear();
        oldestRevision = Long.MAX_VALUE;
        confirmation = Optional.empty();
        // Members ask the store themselves at once, so that each one judges by its own contact.
        waiters.forEach(waiter -> waiter.sink().success(Optional.empty()));
        waiters.clear();
    }

    void onStore(String store, CacheChanges answer, boolean restart) {
        // Numbers begin with the time of day, so that they differ from those of an earlier start.
        boolean first = !stores.containsKey(store);
        StoreLog log = stores.computeIfAbsent(
                store, key -> new StoreLog(clocks.wallMillis().getAsLong()));
        if (restart || first) {
            log.changes.reset(answer.epoch());
        }
        answer.changes().forEach(log.changes::add);
        if (answer.clockMillis().isPresent()) {
            log.clockAheadMillis = OptionalLong.of(answer.clockMillis().getAsLong() - clocks.nowMillis());
        }
        log.reached = true;
        gather();
    }

    /** The cache store no longer answers; members must not use its parts either. */
    void onStoreLost(String store) {
        StoreLog log = stores.get(store);
        if (log != null && log.reached) {
            log.reached = false;
            gather();
        }
    }

    /**
     * Tells whether this node reaches the metadata store.
     *
     * @return false if it has nothing to pass on
     */
    boolean reachesStore() {
        return confirmation.isPresent();
    }

    /**
     * Answers a question.
     *
     * @param question the question
     * @return the answer, empty if the member has to ask the metadata store itself
     */
    Mono<Optional<Answer>> ask(Question question) {
        OrderTurn.Moment since = clocks.now();
        return Mono.create(sink -> loop.execute(() -> hold(new Waiter(question, since, sink))));
    }

    private void hold(Waiter waiter) {
        if (!knows(waiter.question()) || hasNews(waiter.question())) {
            waiter.sink().success(answer(waiter.question(), waiter.since()));
        } else {
            waiters.add(waiter);
            loop.schedule(() -> answer(waiter), WAIT_MILLIS, TimeUnit.MILLISECONDS);
            waiter.sink().onDispose(() -> loop.execute(() -> waiters.remove(waiter)));
        }
    }

    private void gather() {
        if (!gathering && !waiters.isEmpty()) {
            gathering = true;
            loop.schedule(this::answerWaiters, GATHER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void answerWaiters() {
        gathering = false;
        for (Waiter waiter : List.copyOf(waiters)) {
            if (hasNews(waiter.question())) {
                answer(waiter);
            }
        }
    }

    private void answer(Waiter waiter) {
        if (waiters.remove(waiter)) {
            waiter.sink().success(answer(waiter.question(), waiter.since()));
        }
    }

    private boolean knows(Question question) {
        return confirmation.isPresent() && question.revision() >= oldestRevision;
    }

    private boolean hasNews(Question question) {
        if (revision > question.revision()) {
            return true;
        }
        return question.stores().entrySet().stream().anyMatch(asked -> {
            StoreLog log = stores.get(asked.getKey());
            boolean reached = log != null && log.reached;
            return asked.getValue() == Question.LOST
                    ? reached
                    : !reached || log.changes.hasChangesSince(asked.getValue());
        });
    }

    private Optional<Answer> answer(Question question, OrderTurn.Moment since) {
        if (!knows(question)) {
            return Optional.empty();
        }
        OrderTurn.Moment now = clocks.now();
        Map<String, Parts> parts = new HashMap<>();
        question.stores().forEach((name, next) -> {
            StoreLog log = stores.get(name);
            if (log != null && log.reached) {
                parts.put(name, Parts.of(log.changes.since(Math.max(0, next), clock(log))));
            }
        });
        return Optional.of(new Answer(
                revision,
                items.stream()
                        .filter(item -> item.revision() > question.revision())
                        .map(Item::of)
                        .toList(),
                confirmation.get().ageMillis(now.monotonicMillis(), now.wallMillis()),
                // The smaller one: a member takes the answer for older rather than for newer than it is.
                Math.min(now.monotonicMillis() - since.monotonicMillis(), now.wallMillis() - since.wallMillis()),
                now.monotonicMillis() - contactBackMillis,
                parts));
    }

    private OptionalLong clock(StoreLog log) {
        return log.clockAheadMillis.isPresent()
                ? OptionalLong.of(clocks.nowMillis() + log.clockAheadMillis.getAsLong())
                : OptionalLong.empty();
    }
}
