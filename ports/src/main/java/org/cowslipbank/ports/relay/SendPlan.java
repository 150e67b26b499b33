package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Parameters of one attempt: how a request is sent to one upstream.
 *
 * @param serverId identifier of the incarnation that must answer; others reject the request
 * @param timeoutMillis time the upstream has to answer, in milliseconds
 * @param team the client's team, empty on anonymous routes
 * @param priority priority from zero, the most urgent, to nine
 * @param weightVersion version that the upstream must have loaded
 * @param cacheScope scope in which the engine caches and looks up the prompt's parts
 * @param fetchFrom for each part of the prompt the store or engine to fetch it from, an empty text for none; an
 *     empty list for no fetch
 * @param fetchUntilMillis deadline on the upstreams' clock, in milliseconds, after which an unfinished fetch is
 *     abandoned
 * @param saveTo for each part of the prompt the store to save it to, an empty text for none; an empty
 *     list for no save
 * @param resumeAfter identifier of the last event received, if a stream is resumed
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
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public SendPlan {
        fetchFrom = List.copyOf(fetchFrom);
        saveTo = List.copyOf(saveTo);
    }
}
