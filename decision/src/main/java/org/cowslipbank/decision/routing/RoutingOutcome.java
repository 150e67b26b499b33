package org.cowslipbank.decision.routing;

import java.util.List;

import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.UpstreamId;

/**
 * The chosen upstream and split point. The first {@code localBlocks} blocks are already at the upstream, the blocks in
 * {@code fetch} follow them, and the rest of the prompt is recomputed.
 *
 * @param result whether an upstream was found
 * @param upstream the upstream, null if none was found
 * @param localBlocks number of leading blocks expected at the upstream
 * @param fetch blocks to fetch, in prompt order
 * @param queueMillis expected wait in the upstream's queue in milliseconds
 * @param fetchMillis expected time until all blocks have arrived, in milliseconds
 * @param recomputeMillis expected time to compute the rest of the prompt, in milliseconds
 * @param cost the weighted cost
 */
public record RoutingOutcome(
        Result result,
        UpstreamId upstream,
        int localBlocks,
        List<BlockRef> fetch,
        double queueMillis,
        double fetchMillis,
        double recomputeMillis,
        double cost) {
    /** Whether an upstream was found. */
    public enum Result {
        /** An upstream was chosen. */
        CHOSEN,
        /** No candidate takes new work. */
        NO_ACTIVE_UPSTREAM,
        /** Candidates take new work, but none has the requested weight version loaded. */
        NO_MATCHING_VERSION
    }

    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public RoutingOutcome {
        fetch = List.copyOf(fetch);
    }

    static RoutingOutcome none(Result result) {
        return new RoutingOutcome(result, null, 0, List.of(), 0, 0, 0, 0);
    }
}
