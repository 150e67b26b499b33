package org.cowslipbank.decision.rollout;

import java.util.List;

/**
 * Result of applying an event.
 *
 * @param state the new state
 * @param effects the actions to carry out, in this order
 */
public record RolloutTransition(RolloutState state, List<RolloutEffect> effects) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public RolloutTransition {
        effects = List.copyOf(effects);
    }
}
