package org.cowslipbank.entry.traffic;

import org.cowslipbank.config.Team;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.SessionKey;

/**
 * A prompt that a caller has sent.
 *
 * @param id the request
 * @param team the team
 * @param model model, weight version and adapter on which it must run
 * @param session the session key; equal to the request's identifier where the caller gave none
 * @param hasSession true if the caller gave a session key
 * @param prompt the prompt's text
 * @param maxTokens maximum number of tokens to generate
 * @param streaming true if tokens are relayed as they arrive
 * @param firstTokenDeadlineMillis monotonic time by which the first token must have arrived, in milliseconds
 */
public record PromptRequest(
        RequestId id,
        Team team,
        ModelRef model,
        SessionKey session,
        boolean hasSession,
        String prompt,
        int maxTokens,
        boolean streaming,
        long firstTokenDeadlineMillis) {}
