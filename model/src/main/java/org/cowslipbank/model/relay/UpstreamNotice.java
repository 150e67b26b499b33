package org.cowslipbank.model.relay;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What an upstream says of itself in an answer.
 *
 * @param requestsPerSecond requests a second that it takes from all nodes together, empty if it names no limit
 * @param leaving true if it is about to leave and takes no further requests
 * @param pauseMillis time for which it wants no request from this node, in milliseconds, empty if it asks for no pause
 * @param maxRejectionsPerSecond requests that it can reject in a second, from all nodes together, without falling over; empty
 *     if it is not brittle
 * @param ignored header lines that are malformed or contradict each other and say nothing
 */
public record UpstreamNotice(
        OptionalDouble requestsPerSecond,
        boolean leaving,
        OptionalLong pauseMillis,
        OptionalInt maxRejectionsPerSecond,
        List<String> ignored) {
    /** An answer that says nothing of the upstream. */
    public static final UpstreamNotice NONE =
            new UpstreamNotice(OptionalDouble.empty(), false, OptionalLong.empty(), OptionalInt.empty(), List.of());

    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public UpstreamNotice {
        ignored = List.copyOf(ignored);
    }
}
