package org.cowslipbank.decision.rollout;

import java.util.List;

/**
 * Result of applying an event.
 *
 * @param state the new state
 * @param effects the actions to carry out, in this order
 */
public record RolloutTransition(RolloutState state, List<RolloutEffect> effects) {
    /** Copies the list. */
    public RolloutTransition {
        effects = List.copyOf(effects);
    }
}
