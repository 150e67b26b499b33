package org.cowslipbank.bench.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ObjIntConsumer;

/**
 * Models an engine that computes one prompt at a time, oldest arrival first among those whose blocks are at the engine.
 * Nodes pass the arrival order as the run's priority, so a prompt keeps its place while its blocks are being fetched.
 */
final class EngineModel {
    private final VirtualClock clock;
    private final double tokensPerMilli;
    private final int cacheCapacityBlocks;
    private final ObjIntConsumer<PromptRun> onFirstToken;
    private final PriorityQueue<PromptRun> ready =
            new PriorityQueue<>(Comparator.comparingLong((PromptRun run) -> run.arrival.arrivalMillis())
                    .thenComparingInt(run -> run.arrival.session()));
    private final LinkedHashMap<Integer, Integer> lruCache = new LinkedHashMap<>(16, 0.75f, true);
    // Holds the same entries, because a read of the LRU map marks the entry as recently used.
    private final Map<Integer, Integer> cachedBlocksBySession = new HashMap<>();
    private int totalCachedBlocks;
    private long readyTokens;
    private boolean busy;
    private int incarnation;
    private double busyUntilMillis;

    EngineModel(VirtualClock clock, Workload workload, ObjIntConsumer<PromptRun> onFirstToken) {
        this.clock = clock;
        this.tokensPerMilli = workload.prefillTokensPerSecond() / 1_000;
        this.cacheCapacityBlocks = workload.engineCacheBlocks();
        this.onFirstToken = onFirstToken;
    }

    void submit(PromptRun run) {
        run.readyMillis = clock.nowMillis();
        readyTokens += run.tokensToCompute;
        ready.add(run);
        startNext();
    }

    /** Returns the prompt tokens still to be computed, including the rest of the running prompt. */
    long waitingTokens() {
        double remainingMillis = busy ? Math.max(0, busyUntilMillis - clock.nowMillis()) : 0;
        return readyTokens + (long) (remainingMillis * tokensPerMilli);
    }

    int waitingRuns() {
        return ready.size() + (busy ? 1 : 0);
    }

    /** Returns how many leading blocks of a session the engine has cached; does not mark them as recently used. */
    int cachedBlocksOf(int session) {
        return cachedBlocksBySession.getOrDefault(session, 0);
    }

    void cacheBlocks(int session, int blocks) {
        Integer before = lruCache.put(session, blocks);
        totalCachedBlocks += blocks - (before == null ? 0 : before);
        cachedBlocksBySession.put(session, blocks);
        Iterator<Map.Entry<Integer, Integer>> leastRecent = lruCache.entrySet().iterator();
        while (totalCachedBlocks > cacheCapacityBlocks && lruCache.size() > 1) {
            Map.Entry<Integer, Integer> entry = leastRecent.next();
            totalCachedBlocks -= entry.getValue();
            cachedBlocksBySession.remove(entry.getKey());
            leastRecent.remove();
        }
    }

    /** Drops the queue and the cache, as when the process dies. */
    void reset() {
        incarnation++;
        busy = false;
        ready.clear();
        readyTokens = 0;
        lruCache.clear();
        cachedBlocksBySession.clear();
        totalCachedBlocks = 0;
    }

    private void startNext() {
        if (busy || ready.isEmpty()) {
            return;
        }
        PromptRun run = ready.remove();
        readyTokens -= run.tokensToCompute;
        if (run.cancelled) {
            startNext();
            return;
        }
        int reusableBlocks = run.arrival.reusableTokens() / Workload.BLOCK_TOKENS;
        int localBlocks = Math.min(reusableBlocks, Math.max(run.blocksAtEngine(), cachedBlocksOf(run.session.id)));
        long tokens = Math.max(1, run.arrival.promptTokens() - (long) localBlocks * Workload.BLOCK_TOKENS);
        busy = true;
        busyUntilMillis = clock.nowMillis() + tokens / tokensPerMilli;
        int startedIn = incarnation;
        clock.at(busyUntilMillis, () -> {
            if (incarnation != startedIn) {
                return;
            }
            busy = false;
            cacheBlocks(run.session.id, run.arrival.fullBlocks());
            if (!run.cancelled) {
                onFirstToken.accept(run, localBlocks);
            }
            startNext();
        });
    }
}
