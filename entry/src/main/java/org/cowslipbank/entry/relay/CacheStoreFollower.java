package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.CacheScopeUse;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.FeedMessages.CacheChangesMessage;
import org.cowslipbank.entry.relay.FeedMessages.CacheStoreAge;
import org.cowslipbank.entry.relay.FeedMessages.PollAnswer;
import org.cowslipbank.entry.relay.FeedMessages.PollRequest;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import reactor.core.Disposable;

/**
 * Keeps the {@link CacheIndex} up to date with the changes of each cache store, which come from the store itself or
 * from the node's hub. Runs on the traffic thread.
 */
final class CacheStoreFollower {
    /** Longest wait of a call for changes. Saves need a recent answer; stores charge for calls that wait less than 200 ms. */
    static final long MAX_WAIT_MILLIS = 400;

    /** Pause between calls; limits the calls to a store with many changes. */
    static final long CALL_PAUSE_MILLIS = 250;

    /** Pause after a failed call. */
    static final long RETRY_PAUSE_MILLIS = 400;

    /**
     * Longest time from a call for changes to its answer. Calls have shorter time limits, but while the VM is suspended these do
     * not expire, and an answer waits in the socket.
     */
    private static final long MAX_CALL_MILLIS = 1_700;

    /**
     * Age of a store's answer in that of a hub of an earlier release, which does not state it: a call for changes failed after
     * 1,700 ms, and followed the one before after {@link #CALL_PAUSE_MILLIS}.
     */
    private static final long UNSTATED_AGE_MILLIS = 2_000;

    private final EngineControl engines;
    private final HubFeed feed;
    private final BooleanSupplier hasHub;
    private final CacheIndex cacheIndex;
    private final Supplier<PlatformView> view;
    private final EventLoop loop;
    private final Clocks clocks;
    private final DecisionLog log;
    private final Map<String, FollowedStore> followedStores = new HashMap<>();
    private long scopeReturns;

    /** State of following one store. */
    private static final class FollowedStore {
        private final String storeName;
        /** The hub that changes come from, empty if they come from the store itself. */
        private String source = "";

        /** Number of the next change at the source, zero to read all parts. */
        private long cursor;

        /** True until the index holds all parts of the store again. */
        private boolean outOfSync = true;

        /** True if the hub's last answer said that it cannot reach the store. */
        private boolean unreachableByHub;

        /** True while the store is not called because the node has a hub. */
        private boolean paused;

        private Disposable call;

        FollowedStore(String storeName) {
            this.storeName = storeName;
        }

        /** Change numbers are valid at one source only, so a new source is asked for all parts. */
        void switchSource(String next) {
            if (!source.equals(next)) {
                source = next;
                cursor = 0;
                outOfSync = true;
                unreachableByHub = false;
            }
        }
    }

    /**
     * Where changes come from and are passed on to.
     *
     * @param engines calls to stores
     * @param feed passes changes on to the members of this node's group
     * @param hasHub returns whether this node has a hub; it then calls no store, even while the hub does not answer,
     *     because stores limit the calls that wait and the members' calls would displace those of the hubs
     */
    record Sources(EngineControl engines, HubFeed feed, BooleanSupplier hasHub) {}

    CacheStoreFollower(
            Sources sources,
            CacheIndex cacheIndex,
            Supplier<PlatformView> view,
            EventLoop loop,
            Clocks clocks,
            DecisionLog log) {
        this.engines = sources.engines();
        this.feed = sources.feed();
        this.hasHub = sources.hasHub();
        this.cacheIndex = cacheIndex;
        this.view = view;
        this.loop = loop;
        this.clocks = clocks;
        this.log = log;
    }

    /** Follows newly configured stores, drops removed ones, and resumes calls once this node has no hub any more. */
    void refresh() {
        Map<String, CacheStore> wanted = new HashMap<>();
        view.get().routes().ifPresent(routes -> routes.configuration()
                .stores()
                .forEach(store -> wanted.put(store.address(), store)));
        for (String address : Set.copyOf(followedStores.keySet())) {
            if (!wanted.containsKey(address)) {
                stop(followedStores.remove(address));
            }
        }
        cacheIndex.retain(wanted.keySet());
        long returns = view.get().scopeUse().returns();
        if (scopeReturns != returns) {
            scopeReturns = returns;
            Map.copyOf(followedStores).forEach(this::followAnew);
        }
        wanted.forEach((address, store) -> {
            if (!followedStores.containsKey(address)) {
                FollowedStore added = new FollowedStore(store.name());
                followedStores.put(address, added);
                askStore(address, added);
            }
        });
        Map.copyOf(followedStores).forEach((address, followed) -> {
            if (followed.paused && !hasHub.getAsBoolean()) {
                askStore(address, followed);
            }
        });
    }

    /**
     * Reads all parts of a store again. Few events of a store are lost, but while a scope was out of use its parts may have
     * been freed, and one that is written again must not be taken for complete. The store is read once calls of nodes that
     * do not know of the return have expired; until then its parts are neither fetched nor saved.
     */
    private void followAnew(String address, FollowedStore followed) {
        stop(followed);
        if (!followed.outOfSync) {
            log.logState(LogFields.event("cache store followed anew; a scope may be in use again")
                    .peer(address));
        }
        cacheIndex.onStoreLost(address);
        if (followed.source.isEmpty()) {
            feed.onCacheStoreLost(followed.storeName);
        }
        FollowedStore anew = new FollowedStore(followed.storeName);
        followedStores.put(address, anew);
        askAgain(address, anew, CacheScopeUse.ENTRY_DELAY_MILLIS);
    }

    /**
     * Returns the contents of a poll: the number of the next change of each store.
     *
     * @param hub the hub to be polled
     * @return the hub's change numbers by name of the store
     */
    Map<String, Long> cursors(String hub) {
        Map<String, Long> cursors = new HashMap<>();
        for (FollowedStore followed : followedStores.values()) {
            followed.switchSource(hub);
            // What it was told as a hub is no longer kept up to date, also if the node becomes one again.
            feed.onCacheStoreLost(followed.storeName);
            cursors.put(followed.storeName, followed.unreachableByHub ? PollRequest.UNREACHABLE : followed.cursor);
        }
        return cursors;
    }

    /**
     * Applies a hub's answer, unless changes have come from another source since the poll.
     *
     * @param hub the hub
     * @param poll the poll
     * @param answer the answer
     * @param sentAt when the poll was sent
     */
    void onHubAnswer(String hub, PollRequest poll, PollAnswer answer, LeaderLease.ClockReading sentAt) {
        if (isTooOld(sentAt)) {
            return;
        }
        Map.copyOf(followedStores).forEach((address, followed) -> {
            if (!followed.source.equals(hub) || !poll.stores().containsKey(followed.storeName)) {
                return;
            }
            CacheChangesMessage changes = answer.stores().get(followed.storeName);
            if (changes == null) {
                onStoreLost(address, followed, "hub cannot reach the store");
                followed.unreachableByHub = true;
            } else {
                followed.unreachableByHub = false;
                CacheStoreAge age =
                        answer.storeAges().getOrDefault(followed.storeName, new CacheStoreAge(UNSTATED_AGE_MILLIS, 0));
                applyChangesOfHub(address, followed, changes.decode(), age);
            }
        });
    }

    private void applyChangesOfHub(String address, FollowedStore followed, CacheChanges changes, CacheStoreAge age) {
        if (applyChanges(address, followed, changes, age.answerMillis()).isPresent()) {
            long sinceMillis = clocks.nowMillis() - age.epochMillis();
            cacheIndex.onEpochKnownElsewhere(address, changes.epoch(), sinceMillis);
        }
    }

    private static void stop(FollowedStore followed) {
        if (followed.call != null) {
            followed.call.dispose();
        }
    }

    private void askStore(String address, FollowedStore followed) {
        if (followedStores.get(address) != followed) {
            return;
        }
        followed.paused = hasHub.getAsBoolean();
        if (followed.paused) {
            return;
        }
        followed.switchSource("");
        LeaderLease.ClockReading sentAt = clocks.now();
        followed.call = engines.cacheChanges(address, followed.cursor, MAX_WAIT_MILLIS)
                .subscribe(
                        changes -> loop.execute(() -> onChanges(address, followed, changes, sentAt)),
                        error -> loop.execute(() -> onFailed(address, followed, error)));
    }

    private boolean isTooOld(LeaderLease.ClockReading sentAt) {
        LeaderLease.ClockReading now = clocks.now();
        return now.monotonicMillis() - sentAt.monotonicMillis() > MAX_CALL_MILLIS
                || now.wallMillis() - sentAt.wallMillis() > MAX_CALL_MILLIS;
    }

    private void onChanges(
            String address, FollowedStore followed, CacheChanges changes, LeaderLease.ClockReading sentAt) {
        if (followedStores.get(address) != followed) {
            return;
        }
        if (isTooOld(sentAt)) {
            askAgain(address, followed, CALL_PAUSE_MILLIS);
            return;
        }
        // If the source is a hub by now, the store's answer is outdated.
        if (followed.source.isEmpty() && hasRestarted(address, followed, changes)) {
            onRestarted(address, followed, changes);
        } else if (followed.source.isEmpty()) {
            applyChangesOfStore(address, followed, changes);
        }
        askAgain(address, followed, CALL_PAUSE_MILLIS);
    }

    private boolean hasRestarted(String address, FollowedStore followed, CacheChanges changes) {
        return followed.cursor > 0 && (isOtherEpoch(address, changes) || hasRepeatedEpoch(followed, changes));
    }

    /** Returns whether the numbers of changes have gone back, as they do only if the store has restarted. */
    private static boolean hasRepeatedEpoch(FollowedStore followed, CacheChanges changes) {
        return changes.nextCursor() < followed.cursor;
    }

    /** The change number is not valid any more, so that the next call asks for all parts. */
    private void onRestarted(String address, FollowedStore followed, CacheChanges changes) {
        log.logState(LogFields.event("cache store restarted")
                .peer(address)
                .field("epoch", changes.epoch())
                .field("clockMillis", changes.clockMillis().orElse(-1)));
        if (!isOtherEpoch(address, changes)) {
            cacheIndex.onEpochRepeated(address);
        }
        long nowMillis = clocks.nowMillis();
        changes.clockMillis().ifPresent(clock -> cacheIndex.onUpstreamClock(address, clock, nowMillis));
        cacheIndex.onStoreAnswer(address, changes.epoch(), true, nowMillis);
        feed.onCacheStoreLost(followed.storeName);
        followed.cursor = 0;
        followed.outOfSync = true;
    }

    private void applyChangesOfStore(String address, FollowedStore followed, CacheChanges changes) {
        Optional<Boolean> restart = applyChanges(address, followed, changes, 0);
        if (restart.isEmpty()) {
            feed.onCacheStoreLost(followed.storeName);
            return;
        }
        long nowMillis = clocks.nowMillis();
        long epochSinceMillis =
                nowMillis - cacheIndex.epochKnownMillis(address, nowMillis).orElse(0);
        feed.onCacheChanges(followed.storeName, changes, restart.get(), epochSinceMillis);
    }

    private boolean isOtherEpoch(String address, CacheChanges changes) {
        return cacheIndex
                .storeEpoch(address)
                .filter(epoch -> epoch == changes.epoch())
                .isEmpty();
    }

    /**
     * Applies changes, unless they are of an earlier epoch than the one that the node knows.
     *
     * @param answerAgeMillis time since the store's answer, in milliseconds
     * @return whether the store's part of the index was emptied first; empty if the changes were not applied
     */
    private Optional<Boolean> applyChanges(
            String address, FollowedStore followed, CacheChanges changes, long answerAgeMillis) {
        LeaderLease.ClockReading now = clocks.now();
        cacheIndex.onClocksRead(now);
        long nowMillis = now.monotonicMillis();
        OptionalLong answeredClockMillis = changes.clockMillis().isPresent()
                ? OptionalLong.of(changes.clockMillis().getAsLong() - answerAgeMillis)
                : OptionalLong.empty();
        if (cacheIndex.isOutdated(address, changes.epoch(), answeredClockMillis)) {
            onStoreLost(address, followed, "answer is of an earlier epoch of the store");
            return Optional.empty();
        }
        changes.clockMillis().ifPresent(clock -> cacheIndex.onUpstreamClock(address, clock, nowMillis));
        boolean otherEpoch = isOtherEpoch(address, changes);
        if (otherEpoch) {
            log.logState(LogFields.event("cache store followed")
                    .peer(address)
                    .field("hub", followed.source.isEmpty() ? "none" : followed.source)
                    .field("epoch", changes.epoch())
                    .field("answerAgeMillis", answerAgeMillis)
                    .field("changes", changes.changes().size()));
        }
        boolean restart = otherEpoch || changes.lost() || followed.outOfSync;
        cacheIndex.onStoreAnswer(address, changes.epoch(), restart, nowMillis - answerAgeMillis);
        changes.changes()
                .forEach(change -> cacheIndex.onPartEvent(
                        address, change.scope(), change.partId(), change.added() ? change.tokens() : 0));
        followed.cursor = changes.nextCursor();
        followed.outOfSync = false;
        return Optional.of(restart);
    }

    private void onFailed(String address, FollowedStore followed, Throwable error) {
        if (followedStores.get(address) != followed) {
            return;
        }
        if (followed.source.isEmpty()) {
            onStoreLost(address, followed, error.getMessage());
            feed.onCacheStoreLost(followed.storeName);
        }
        askAgain(address, followed, RETRY_PAUSE_MILLIS);
    }

    private void onStoreLost(String address, FollowedStore followed, String reason) {
        if (!followed.outOfSync) {
            log.logState(LogFields.event("cache store lost").peer(address).field("reason", reason));
        }
        followed.outOfSync = true;
        followed.cursor = 0;
        cacheIndex.onStoreLost(address);
    }

    private void askAgain(String address, FollowedStore followed, long pauseMillis) {
        loop.schedule(() -> askStore(address, followed), pauseMillis, TimeUnit.MILLISECONDS);
    }
}
