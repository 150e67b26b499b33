package org.cowslipbank.decision.streams;

import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RequestId;

/**
 * What a stream has to deliver.
 *
 * @param request the request; attempt identifiers are derived from it
 * @param model the model, weight version and adapter chosen at admission
 * @param streaming true if tokens are relayed as they arrive; false if the caller gets the answer as a whole
 * @param maxTokens the most tokens of the answer, zero for no bound
 * @param firstTokenDeadlineMillis time by which the first token must have arrived, zero for none
 * @param limits the bounds
 */
public record StreamSpec(
        RequestId request,
        ModelRef model,
        boolean streaming,
        int maxTokens,
        long firstTokenDeadlineMillis,
        StreamLimits limits) {}
