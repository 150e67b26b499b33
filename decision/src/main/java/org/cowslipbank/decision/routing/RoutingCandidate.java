package org.cowslipbank.decision.routing;

import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/**
 * One upstream as seen by a node: its last load report, which lags, plus the work that this node has sent since.
 *
 * @param upstream the upstream
 * @param state whether it takes new work
 * @param loaded the model, weight version and adapter that it last reported
 * @param loading true while it loads another model or weight version
 * @param running runs in its batch according to the report
 * @param waiting runs waiting there according to the report
 * @param slots maximum number of runs in its batch
 * @param waitingPromptTokens prompt tokens waiting to be computed according to the report
 * @param sentPromptTokens prompt tokens that this node has sent to it and the report does not include yet
 * @param prefillTokensPerSecond prompt tokens that it computes per second
 * @param distanceMillis one-way network latency from this node in milliseconds
 * @param localBlocks number of leading blocks of the prompt that are staged there or in its cache by its cache events
 */
public record RoutingCandidate(
        UpstreamId upstream,
        UpstreamState state,
        ModelRef loaded,
        boolean loading,
        int running,
        int waiting,
        int slots,
        long waitingPromptTokens,
        long sentPromptTokens,
        double prefillTokensPerSecond,
        double distanceMillis,
        int localBlocks) {}
