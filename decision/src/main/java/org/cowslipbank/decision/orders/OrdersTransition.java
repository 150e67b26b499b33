package org.cowslipbank.decision.orders;

import java.util.List;

/**
 * Outcome of an event.
 *
 * @param state the new state
 * @param effects what the shell has to do, in order
 */
public record OrdersTransition(OrdersState state, List<OrdersEffect> effects) {
    /** Copies the list. */
    public OrdersTransition {
        effects = List.copyOf(effects);
    }
}
