package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.CacheDirectory;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.FeedMessages.Answer;
import org.cowslipbank.entry.relay.FeedMessages.Parts;
import org.cowslipbank.entry.relay.FeedMessages.Question;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import reactor.core.Disposable;

/**
 * Keeps the directory of each store up to date from the store's own events, or from what the node's hub tells of them.
 * Runs on the traffic thread.
 */
final class StoreFollower {
    /** Longest wait of a call for events, the most that stores allow. */
    static final long WAIT_MILLIS = 1_000;

    /** Pause between calls, so that a store with many changes is not asked for each one. */
    static final long PAUSE_MILLIS = 250;

    /** Pause after a failed call. */
    static final long FAILED_PAUSE_MILLIS = 400;

    private final EngineControl engines;
    private final FleetFeed feed;
    private final BooleanSupplier hasHub;
    private final CacheDirectory directory;
    private final Supplier<PlatformView> view;
    private final EventLoop loop;
    private final Clocks clocks;
    private final DecisionLog log;
    private final Map<String, Follow> follows = new HashMap<>();

    private static final class Follow {
        private final String storeName;
        /** The hub that told of the store last, empty if the store itself did. */
        private String source = "";

        private long since;
        private boolean lost = true;
        /** True if the hub said that it does not reach the store. */
        private boolean toldLost;

        /** True while the store is not asked because the node has a hub. */
        private boolean rests;

        private Disposable call;

        Follow(String storeName) {
            this.storeName = storeName;
        }

        /** Numbers of another source mean nothing; the next call asks for everything. */
        void from(String next) {
            if (!source.equals(next)) {
                source = next;
                since = 0;
                lost = true;
                toldLost = false;
            }
        }
    }

    /**
     * How stores are asked and their answers passed on.
     *
     * @param engines calls to stores
     * @param feed passes changes on to other nodes
     * @param hasHub tells whether this node has a hub; it asks no store then, even while the hub has no answer, because
     *     the members' calls would take the places of the hubs' calls at the stores
     */
    record Sources(EngineControl engines, FleetFeed feed, BooleanSupplier hasHub) {}

    StoreFollower(
            Sources sources,
            CacheDirectory directory,
            Supplier<PlatformView> view,
            EventLoop loop,
            Clocks clocks,
            DecisionLog log) {
        this.engines = sources.engines();
        this.feed = sources.feed();
        this.hasHub = sources.hasHub();
        this.directory = directory;
        this.view = view;
        this.loop = loop;
        this.clocks = clocks;
        this.log = log;
    }

    /** Starts following stores that are new, forgets those that are gone, and changes sources with the fleet. */
    void refresh() {
        Map<String, CacheStore> wanted = new HashMap<>();
        view.get().routes().ifPresent(routes -> routes.configuration()
                .stores()
                .forEach(store -> wanted.put(store.address(), store)));
        for (String address : Set.copyOf(follows.keySet())) {
            if (!wanted.containsKey(address)) {
                stop(follows.remove(address));
            }
        }
        directory.retain(wanted.keySet());
        wanted.forEach((address, store) -> {
            if (!follows.containsKey(address)) {
                Follow added = new Follow(store.name());
                follows.put(address, added);
                ask(address, added);
            }
        });
        Map.copyOf(follows).forEach((address, follow) -> {
            if (follow.rests && !hasHub.getAsBoolean()) {
                ask(address, follow);
            }
        });
    }

    /**
     * Returns where a hub's answers go on.
     *
     * @param hub the hub
     * @return its numbers by name of the store
     */
    Map<String, Long> numbers(String hub) {
        Map<String, Long> numbers = new HashMap<>();
        for (Follow follow : follows.values()) {
            follow.from(hub);
            numbers.put(follow.storeName, follow.toldLost ? Question.LOST : follow.since);
        }
        return numbers;
    }

    /** Takes what a hub told. */
    void onFed(String hub, Question question, Answer answer) {
        Map.copyOf(follows).forEach((address, follow) -> {
            if (!follow.source.equals(hub) || !question.stores().containsKey(follow.storeName)) {
                return;
            }
            Parts parts = answer.stores().get(follow.storeName);
            if (parts == null) {
                onLost(address, follow, "the hub does not reach it");
                follow.toldLost = true;
            } else {
                follow.toldLost = false;
                take(address, follow, parts.decode());
            }
        });
    }

    private static void stop(Follow follow) {
        if (follow.call != null) {
            follow.call.dispose();
        }
    }

    private void ask(String address, Follow follow) {
        if (follows.get(address) != follow) {
            return;
        }
        follow.rests = hasHub.getAsBoolean();
        if (follow.rests) {
            return;
        }
        follow.from("");
        long sentAtMillis = clocks.nowMillis();
        follow.call = engines.cacheChanges(address, follow.since, WAIT_MILLIS)
                .subscribe(
                        changes -> loop.execute(() -> onChanges(address, follow, changes, sentAtMillis)),
                        error -> loop.execute(() -> onFailed(address, follow, error)));
    }

    private void onChanges(String address, Follow follow, CacheChanges changes, long sentAtMillis) {
        // A hub may have told of the store meanwhile.
        if (follow.source.isEmpty() && isLaterLifetime(address, follow, changes)) {
            // Numbers of an earlier lifetime mean nothing in this one; the next call asks for everything.
            follow.since = 0;
            follow.lost = true;
            directory.onAnswer(address, changes.epoch(), true, sentAtMillis);
        } else if (follow.source.isEmpty()) {
            boolean restart = take(address, follow, changes);
            feed.onStore(follow.storeName, changes, restart);
        }
        again(address, follow, PAUSE_MILLIS);
    }

    private boolean isLaterLifetime(String address, Follow follow, CacheChanges changes) {
        return follow.since > 0 && isOtherEpoch(address, changes);
    }

    private boolean isOtherEpoch(String address, CacheChanges changes) {
        return directory
                .epoch(address)
                .filter(epoch -> epoch == changes.epoch())
                .isEmpty();
    }

    /** Applies changes and tells whether the directory of the store began anew. */
    private boolean take(String address, Follow follow, CacheChanges changes) {
        changes.clockMillis().ifPresent(clock -> directory.onClock(clock, clocks.nowMillis()));
        boolean otherEpoch = isOtherEpoch(address, changes);
        if (otherEpoch) {
            log.state(LogFields.event("cache store followed")
                    .peer(address)
                    .field("epoch", changes.epoch())
                    .field("changes", changes.changes().size()));
        }
        boolean restart = otherEpoch || changes.lost() || follow.lost;
        directory.onAnswer(address, changes.epoch(), restart, clocks.nowMillis());
        changes.changes()
                .forEach(change -> directory.onPart(
                        address, change.scope(), change.partId(), change.added() ? change.tokens() : 0));
        follow.since = changes.next();
        follow.lost = false;
        return restart;
    }

    private void onFailed(String address, Follow follow, Throwable error) {
        if (follow.source.isEmpty()) {
            onLost(address, follow, error.getMessage());
            feed.onStoreLost(follow.storeName);
        }
        again(address, follow, FAILED_PAUSE_MILLIS);
    }

    private void onLost(String address, Follow follow, String reason) {
        if (!follow.lost) {
            log.state(LogFields.event("cache store lost").peer(address).field("reason", reason));
        }
        follow.lost = true;
        follow.since = 0;
        directory.onLost(address);
    }

    private void again(String address, Follow follow, long pauseMillis) {
        loop.schedule(() -> ask(address, follow), pauseMillis, TimeUnit.MILLISECONDS);
    }
}
