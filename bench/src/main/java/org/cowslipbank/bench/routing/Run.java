package org.cowslipbank.bench.routing;

import java.util.List;

import org.cowslipbank.model.BlockRef;

/** One request from its address lookup to its first token. */
final class Run {
    final Arrival arrival;
    final Session session;
    int node;
    boolean arrived;
    /** The node or engine that had it died; the caller has sent the request again. */
    boolean cancelled;

    int engine = -1;
    /** Leading blocks that are at the engine before the fetch. */
    int base;
    /** Blocks received by the present fetch. */
    int received;

    int planned;
    long transferId = -1;
    int link = -1;
    /** Distinguishes the present fetch from an earlier one in scheduled checks. */
    int fetchNumber;

    double fetchStartMillis;
    double queueAtStartMillis;
    double expectedBlockMillis;
    double firstBlockMillis = -1;
    /** Blocks wanted beyond those of the prefetch. */
    List<BlockRef> extra = List.of();

    /** Blocks that the prefetch had received when the request arrived. */
    int receivedBeforeArrival;

    long assignedTokens;
    double readyMillis = -1;

    Run(Arrival arrival, Session session) {
        this.arrival = arrival;
        this.session = session;
    }

    int blocksAtEngine() {
        return base + received;
    }

    boolean isReturning() {
        return arrival.knownTokens() > 0;
    }
}
