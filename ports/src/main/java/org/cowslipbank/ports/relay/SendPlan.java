package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * How a request is sent to one upstream.
 *
 * @param serverId identifier of the incarnation that must answer
 * @param timeoutMillis how long the upstream may work, in milliseconds
 * @param team the client's team, empty on anonymous routes
 * @param priority rank from zero, the most urgent, to nine
 * @param weightVersion version that the upstream must have loaded
 * @param cacheScope name under which the engine caches and finds the prompt's parts
 * @param fetchFrom address to fetch each part of the prompt from, an empty text for none; empty without any
 * @param fetchUntilMillis when a fetch that has not ended is thrown away, on the upstreams' clock in milliseconds
 * @param saveTo address of the store to save each part to, an empty text for none; empty without any
 * @param resumeAfter identifier of the last event that the client has
 */
public record SendPlan(
        String serverId,
        long timeoutMillis,
        Optional<String> team,
        int priority,
        OptionalLong weightVersion,
        Optional<String> cacheScope,
        List<String> fetchFrom,
        OptionalLong fetchUntilMillis,
        List<String> saveTo,
        Optional<String> resumeAfter) {
    /** Copies the lists. */
    public SendPlan {
        fetchFrom = List.copyOf(fetchFrom);
        saveTo = List.copyOf(saveTo);
    }
}
