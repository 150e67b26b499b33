package org.cowslipbank.bench.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ObjIntConsumer;

/**
 * An engine that computes prompts one after the other, oldest arrival first among those whose blocks are there. Nodes
 * pass the arrival order as the run's priority, so a prompt keeps its place while its blocks are being fetched.
 */
final class EngineModel {
    private final VirtualClock clock;
    private final double tokensPerMilli;
    private final int cacheBlocks;
    private final ObjIntConsumer<Run> onFirstToken;
    private final PriorityQueue<Run> ready =
            new PriorityQueue<>(Comparator.comparingLong((Run run) -> run.arrival.arrivalMillis())
                    .thenComparingInt(run -> run.arrival.session()));
    private final LinkedHashMap<Integer, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    // A second map, because reading the first one renews its entry.
    private final Map<Integer, Integer> cacheView = new HashMap<>();
    private int cachedBlocks;
    private long readyTokens;
    private boolean busy;
    private int life;
    private double busyUntilMillis;

    EngineModel(VirtualClock clock, Workload workload, ObjIntConsumer<Run> onFirstToken) {
        this.clock = clock;
        this.tokensPerMilli = workload.prefillTokensPerSecond() / 1_000;
        this.cacheBlocks = workload.engineCacheBlocks();
        this.onFirstToken = onFirstToken;
    }

    void submit(Run run) {
        run.readyMillis = clock.nowMillis();
        readyTokens += run.assignedTokens;
        ready.add(run);
        startNext();
    }

    /** Prompt tokens that wait to be computed, those of the running prompt included. */
    long waitingTokens() {
        double running = busy ? Math.max(0, busyUntilMillis - clock.nowMillis()) : 0;
        return readyTokens + (long) (running * tokensPerMilli);
    }

    int waitingRuns() {
        return ready.size() + (busy ? 1 : 0);
    }

    /** Leading blocks of a session in the engine's memory; asking does not renew them. */
    int cached(int session) {
        return cacheView.getOrDefault(session, 0);
    }

    void keep(int session, int blocks) {
        Integer before = cache.put(session, blocks);
        cachedBlocks += blocks - (before == null ? 0 : before);
        cacheView.put(session, blocks);
        Iterator<Map.Entry<Integer, Integer>> oldest = cache.entrySet().iterator();
        while (cachedBlocks > cacheBlocks && cache.size() > 1) {
            Map.Entry<Integer, Integer> entry = oldest.next();
            cachedBlocks -= entry.getValue();
            cacheView.remove(entry.getKey());
            oldest.remove();
        }
    }

    /** Loses everything, as when the process dies. */
    void reset() {
        life++;
        busy = false;
        ready.clear();
        readyTokens = 0;
        cache.clear();
        cacheView.clear();
        cachedBlocks = 0;
    }

    private void startNext() {
        if (busy || ready.isEmpty()) {
            return;
        }
        Run run = ready.remove();
        readyTokens -= run.assignedTokens;
        if (run.cancelled) {
            startNext();
            return;
        }
        int known = run.arrival.knownTokens() / Workload.BLOCK_TOKENS;
        int local = Math.min(known, Math.max(run.blocksAtEngine(), cached(run.session.id)));
        long tokens = Math.max(1, run.arrival.promptTokens() - (long) local * Workload.BLOCK_TOKENS);
        busy = true;
        busyUntilMillis = clock.nowMillis() + tokens / tokensPerMilli;
        int startedIn = life;
        clock.at(busyUntilMillis, () -> {
            if (life != startedIn) {
                return;
            }
            busy = false;
            keep(run.session.id, run.arrival.fullBlocks());
            if (!run.cancelled) {
                onFirstToken.accept(run, local);
            }
            startNext();
        });
    }
}
