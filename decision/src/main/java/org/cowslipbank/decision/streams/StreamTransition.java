package org.cowslipbank.decision.streams;

import java.util.List;

/**
 * Result of applying an event.
 *
 * @param state the new state
 * @param effects the actions to carry out, in this order
 */
public record StreamTransition(StreamState state, List<StreamEffect> effects) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public StreamTransition {
        effects = List.copyOf(effects);
    }
}
