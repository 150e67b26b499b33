package org.cowslipbank.decision.orders;

import java.util.List;

/**
 * Result of applying an event.
 *
 * @param state the new state
 * @param effects the actions to carry out, in this order
 */
public record OrdersTransition(OrdersState state, List<OrdersEffect> effects) {
    /** Copies the list. */
    public OrdersTransition {
        effects = List.copyOf(effects);
    }
}
