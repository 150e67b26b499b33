package org.cowslipbank.model.relay;

import java.util.List;
import java.util.OptionalInt;

/**
 * A team and its bearer keys.
 *
 * @param name the team's name
 * @param keys its bearer keys
 * @param isolated true if it shares no cache block with another team
 * @param priority its priority, which overrides the route's; empty to use the route's
 */
public record RelayTeam(String name, List<String> keys, boolean isolated, OptionalInt priority) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public RelayTeam {
        keys = List.copyOf(keys);
    }

    @Override
    public String toString() {
        return "RelayTeam[" + name + "]";
    }
}
