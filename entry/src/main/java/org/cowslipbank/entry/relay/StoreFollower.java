package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.relay.CacheDirectory;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.ports.relay.CacheWire;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CacheChanges;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Keeps the directory of each store up to date from the store's own events. A store holds a limited number of waiting
 * calls: in a larger fleet some nodes ask the store, and the others ask one of these. Runs on the traffic thread.
 */
final class StoreFollower {
    /** Longest wait of a call for events, the most that stores allow. */
    static final long WAIT_MILLIS = 1_000;

    /** Pause between calls, so that a store with many changes is not asked for each one. */
    static final long PAUSE_MILLIS = 250;

    /** Pause after a failed call. */
    static final long FAILED_PAUSE_MILLIS = 400;

    private final EngineControl engines;
    private final CacheWire wire;
    private final CacheRelay relay;
    private final CacheDirectory directory;
    private final Supplier<PlatformView> view;
    private final String self;
    private final EventLoop loop;
    private final Clocks clocks;
    private final DecisionLog log;
    private final Map<String, Follow> follows = new HashMap<>();

    private static final class Follow {
        private final String storeName;
        private String source;
        private long since;
        private boolean lost = true;
        private Disposable call;

        Follow(String storeName, String source) {
            this.storeName = storeName;
            this.source = source;
        }
    }

    /**
     * How stores are asked and their answers passed on.
     *
     * @param engines calls to stores and other nodes
     * @param wire format between nodes
     * @param relay passes changes on to other nodes
     */
    record Sources(EngineControl engines, CacheWire wire, CacheRelay relay) {}

    StoreFollower(
            Sources sources,
            CacheDirectory directory,
            Supplier<PlatformView> view,
            String self,
            EventLoop loop,
            Clocks clocks,
            DecisionLog log) {
        this.engines = sources.engines();
        this.wire = sources.wire();
        this.relay = sources.relay();
        this.directory = directory;
        this.view = view;
        this.self = self;
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
            Follow follow = follows.get(address);
            String source = source(store);
            if (follow == null) {
                Follow added = new Follow(store.name(), source);
                follows.put(address, added);
                ask(address, added);
            } else if (!follow.source.equals(source)) {
                // Numbers of another source mean nothing; the next call asks for everything.
                follow.source = source;
                follow.since = 0;
                follow.lost = true;
            }
        });
    }

    private String source(CacheStore store) {
        Map<String, RegisteredNode> nodes = view.get().nodes();
        List<String> askers =
                Rendezvous.top(store.name(), nodes.keySet(), name -> name, Math.max(1, store.maxWaitingCalls() - 1));
        if (nodes.size() <= askers.size() || askers.contains(self)) {
            return store.address();
        }
        int index = Math.floorMod((int) Rendezvous.hash(self), askers.size());
        return wire.address(nodes.get(askers.get(index)).cacheAddress(), store.name());
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
        Mono<CacheChanges> answer = engines.cacheChanges(follow.source, follow.since, WAIT_MILLIS);
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
        boolean restart = changes.lost() || follow.lost;
        directory.onAnswer(address, changes.epoch(), restart, clocks.nowMillis());
        if (follow.source.equals(address)) {
            relay.onChanges(follow.storeName, changes, newEpoch || restart);
        }
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
        relay.onLost(follow.storeName);
        again(address, follow, FAILED_PAUSE_MILLIS);
    }

    private void again(String address, Follow follow, long pauseMillis) {
        loop.schedule(() -> ask(address, follow), pauseMillis, TimeUnit.MILLISECONDS);
    }
}
