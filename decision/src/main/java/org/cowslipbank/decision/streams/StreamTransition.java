package org.cowslipbank.decision.streams;

import java.util.List;

/**
 * Result of applying an event.
 *
 * @param state the new state
 * @param effects the actions to carry out, in this order
 */
public record StreamTransition(StreamState state, List<StreamEffect> effects) {
    /** Copies the list. */
    public StreamTransition {
        effects = List.copyOf(effects);
    }
}
