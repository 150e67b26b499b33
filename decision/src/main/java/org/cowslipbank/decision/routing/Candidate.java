package org.cowslipbank.decision.routing;

import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.UpstreamId;

/**
 * What a node knows about one upstream. The load report lags; what this node has sent since is kept beside it.
 *
 * @param upstream the upstream
 * @param state whether it takes new work
 * @param loaded the model, weight version and adapter that it last reported
 * @param loading true while it loads other weights
 * @param running runs in its batch at the report
 * @param waiting runs waiting at the report
 * @param slots the most runs in its batch
 * @param waitingPromptTokens prompt tokens waiting to be computed at the report
 * @param sentPromptTokens prompt tokens that this node has assigned to it and that the report does not contain
 * @param prefillTokensPerSecond rate at which it computes prompt tokens
 * @param distanceMillis one-way distance from this node in milliseconds
 * @param localBlocks leading blocks of the prompt that are staged there or that its cache events still name
 */
public record Candidate(
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
