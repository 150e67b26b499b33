package org.cowslipbank.model.relay;

import java.util.List;
import java.util.OptionalInt;

/**
 * A team and its keys.
 *
 * @param name the team's name
 * @param keys its bearer keys
 * @param isolated true if it shares no cache block with another team
 * @param priority its rank, which goes before that of a route
 */
public record RelayTeam(String name, List<String> keys, boolean isolated, OptionalInt priority) {
    /** Copies the list. */
    public RelayTeam {
        keys = List.copyOf(keys);
    }

    @Override
    public String toString() {
        return "RelayTeam[" + name + "]";
    }
}
