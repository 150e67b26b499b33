package org.cowslipbank.decision.streams;

import java.util.List;

/**
 * Outcome of an event.
 *
 * @param state the new state
 * @param effects what the shell has to do, in order
 */
public record StreamTransition(StreamState state, List<StreamEffect> effects) {
    /** Copies the list. */
    public StreamTransition {
        effects = List.copyOf(effects);
    }
}
