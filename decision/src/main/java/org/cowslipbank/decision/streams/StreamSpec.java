package org.cowslipbank.decision.streams;

import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RequestId;

/**
 * The request that a stream answers.
 *
 * @param request identifier of the request, from which the attempt identifiers are derived
 * @param model the model, weight version and adapter chosen at admission
 * @param streaming true if tokens are relayed as they arrive; false if the caller gets the whole answer at once
 * @param maxTokens token limit of the answer, zero for none
 * @param firstTokenDeadlineMillis deadline for the first token on the stream's clock, zero for none
 * @param limits timeouts and limits
 */
public record StreamSpec(
        RequestId request,
        ModelRef model,
        boolean streaming,
        int maxTokens,
        long firstTokenDeadlineMillis,
        StreamLimits limits) {}
