package org.cowslipbank.bench.routing;

import java.util.List;

import org.cowslipbank.model.BlockRef;

/** State of one request from its endpoint lookup to its first token. */
final class PromptRun {
    final Arrival arrival;
    final Session session;
    int node;
    boolean arrived;
    /** True if the node or engine of the request has died; the caller sends the request again as a new run. */
    boolean cancelled;

    int engine = -1;
    /** Leading blocks that the engine has before the fetch. */
    int blocksBeforeFetch;
    /** Blocks that the current fetch has received. */
    int fetchedBlocks;

    int plannedBlocks;
    long transferId = -1;
    int link = -1;
    /** Tells callbacks and scheduled checks of an earlier fetch from those of the current one. */
    int fetchNumber;

    double fetchStartMillis;
    double queueAtStartMillis;
    double expectedBlockMillis;
    double firstBlockMillis = -1;
    /** Blocks to fetch after the prefetch, which is limited in time. */
    List<BlockRef> blocksAfterPrefetch = List.of();

    /** Blocks that the prefetch had received when the request arrived. */
    int fetchedBeforeArrival;

    long tokensToCompute;
    double readyMillis = -1;

    PromptRun(Arrival arrival, Session session) {
        this.arrival = arrival;
        this.session = session;
    }

    int blocksAtEngine() {
        return blocksBeforeFetch + fetchedBlocks;
    }

    boolean isReturning() {
        return arrival.reusableTokens() > 0;
    }
}
