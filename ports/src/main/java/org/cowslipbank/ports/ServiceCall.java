package org.cowslipbank.ports;

import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.TeamId;

/**
 * A call to a plain service.
 *
 * @param attempt the attempt
 * @param team the team
 * @param method the HTTP method
 * @param path path and query, relative to the service's root
 * @param contentType the body's content type
 * @param body the body; treated as immutable
 */
public record ServiceCall(
        AttemptId attempt, TeamId team, String method, String path, String contentType, byte[] body) {}
