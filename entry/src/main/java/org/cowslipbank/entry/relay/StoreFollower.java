package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.relay.CacheDirectory;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Keeps the directory of each store up to date from the store's own events. Runs on the traffic thread. */
final class StoreFollower {
    /** Longest wait of a call for events, the most that stores allow. */
    static final long WAIT_MILLIS = 1_000;

    /** Pause between calls, so that a store with many changes is not asked for each one. */
    static final long PAUSE_MILLIS = 250;

    /** Pause after a failed call. */
    static final long FAILED_PAUSE_MILLIS = 400;

    private final EngineControl engines;
    private final CacheDirectory directory;
    private final Supplier<PlatformView> view;
    private final String self;
    private final EventLoop loop;
    private final Clocks clocks;
    private final DecisionLog log;
    private final Map<String, Follow> follows = new HashMap<>();

    private static final class Follow {
        private long since;
        private boolean lost = true;
        private Disposable call;
    }

    StoreFollower(
            EngineControl engines,
            CacheDirectory directory,
            Supplier<PlatformView> view,
            String self,
            EventLoop loop,
            Clocks clocks,
            DecisionLog log) {
        this.engines = engines;
        this.directory = directory;
        this.view = view;
        this.self = self;
        this.loop = loop;
        this.clocks = clocks;
        this.log = log;
    }

    /** Starts following stores that are new and forgets those that are gone. */
    void refresh() {
        Set<String> wanted = new HashSet<>();
        view.get().routes().ifPresent(routes -> routes.configuration().stores().stream()
                .filter(this::follows)
                .forEach(store -> wanted.add(store.address())));
        for (String address : Set.copyOf(follows.keySet())) {
            if (!wanted.contains(address)) {
                stop(follows.remove(address));
            }
        }
        directory.retain(wanted);
        for (String address : wanted) {
            if (!follows.containsKey(address)) {
                Follow follow = new Follow();
                follows.put(address, follow);
                ask(address, follow);
            }
        }
    }

    // A store holds a limited number of waiting calls; with more nodes than that, some nodes do without it.
    private boolean follows(CacheStore store) {
        List<String> followers = Rendezvous.top(
                store.name(), view.get().nodes().keySet(), name -> name, Math.max(1, store.maxWaitingCalls() - 1));
        return followers.contains(self);
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
        long sentAtMillis = clocks.nowMillis();
        Mono<CacheChanges> answer = engines.cacheChanges(address, follow.since, WAIT_MILLIS);
        follow.call = answer.subscribe(
                changes -> loop.execute(() -> onChanges(address, follow, changes, sentAtMillis)),
                error -> loop.execute(() -> onFailed(address, follow, error)));
    }

    private void onChanges(String address, Follow follow, CacheChanges changes, long sentAtMillis) {
        changes.clockMillis().ifPresent(clock -> directory.onClock(clock, clocks.nowMillis()));
        boolean newEpoch = directory
                .epoch(address)
                .filter(epoch -> epoch == changes.epoch())
                .isEmpty();
        if (newEpoch) {
            log.state(LogFields.event("cache store followed")
                    .peer(address)
                    .field("epoch", changes.epoch())
                    .field("changes", changes.changes().size()));
        }
        if (newEpoch && follow.since > 0) {
            // Numbers of an earlier lifetime mean nothing in this one.
            follow.since = 0;
            directory.onAnswer(address, changes.epoch(), true, sentAtMillis);
            again(address, follow, PAUSE_MILLIS);
            return;
        }
        directory.onAnswer(address, changes.epoch(), changes.lost(), clocks.nowMillis());
        changes.changes()
                .forEach(change -> directory.onPart(
                        address, change.scope(), change.partId(), change.added() ? change.tokens() : 0));
        follow.since = changes.next();
        follow.lost = false;
        again(address, follow, PAUSE_MILLIS);
    }

    private void onFailed(String address, Follow follow, Throwable error) {
        if (!follow.lost) {
            log.state(LogFields.event("cache store lost").peer(address).error(error));
        }
        follow.lost = true;
        follow.since = 0;
        directory.onLost(address);
        again(address, follow, FAILED_PAUSE_MILLIS);
    }

    private void again(String address, Follow follow, long pauseMillis) {
        loop.schedule(() -> ask(address, follow), pauseMillis, TimeUnit.MILLISECONDS);
    }
}
