package org.cowslipbank.decision.suspects;

import java.util.Map;
import java.util.Set;

/**
 * What follows from the crashes that are known.
 *
 * @param refused identifiers of the suspects that are taken as causes; requests that contain one are refused
 * @param watched identifiers of the suspects that one further crash would make causes on some node, and of the refused
 *     ones; nodes tell each other of answers with them that go on well
 * @param watchedSinceMillis for each refused suspect since when this node has known of as many crashes as it is watched
 *     from, in milliseconds of the monotonic clock
 * @param suspected identifiers of the suspects of any crash; an answer of this node that goes on well clears them here
 */
public record CrashVerdicts(
        Set<String> refused, Set<String> watched, Map<String, Long> watchedSinceMillis, Set<String> suspected) {
    /** Nothing is suspected. */
    public static final CrashVerdicts NONE = new CrashVerdicts(Set.of(), Set.of(), Map.of(), Set.of());

    /** Makes unmodifiable copies of the collections; null elements are rejected with NullPointerException. */
    public CrashVerdicts {
        refused = Set.copyOf(refused);
        watched = Set.copyOf(watched);
        watchedSinceMillis = Map.copyOf(watchedSinceMillis);
        suspected = Set.copyOf(suspected);
    }
}
