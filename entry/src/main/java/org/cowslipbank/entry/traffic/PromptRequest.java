package org.cowslipbank.entry.traffic;

import org.cowslipbank.config.ModelVersion;
import org.cowslipbank.config.Team;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.RequestId;
import org.cowslipbank.model.SessionKey;

/**
 * A prompt to serve.
 *
 * @param id the request
 * @param team the team
 * @param model model, weight version and adapter on which it must run
 * @param version the version's configuration, with the upstreams allowed
 * @param session the session key; equal to the request where the caller gave none
 * @param prompt the prompt's text
 * @param maxTokens the most tokens to generate
 * @param deadlineMillis when the first token is no longer wanted, in milliseconds since the epoch
 */
public record PromptRequest(
        RequestId id,
        Team team,
        ModelRef model,
        ModelVersion version,
        SessionKey session,
        String prompt,
        int maxTokens,
        long deadlineMillis) {}
