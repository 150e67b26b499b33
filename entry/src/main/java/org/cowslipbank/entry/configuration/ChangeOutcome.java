package org.cowslipbank.entry.configuration;

import java.util.List;

/**
 * Outcome of a change.
 *
 * @param kind the outcome
 * @param revision the revision that the change made; else the one in force as far as known
 * @param messages for a person: the difference for a conflict, what is wrong, or the data centres that lag
 */
public record ChangeOutcome(Kind kind, long revision, List<String> messages) {
    /** Kinds of outcome. */
    public enum Kind {
        /** The change is made, and every data centre that may not lag has reported its revision. */
        ACCEPTED,
        /** The change is made, but the named data centres have not reported its revision within the bound. */
        LAGGING,
        /** The change changes nothing; nothing was written. */
        UNCHANGED,
        /** Another change came first; the messages name what has changed since the operator's revision. */
        CONFLICT,
        /** The changed configuration would be wrong; nothing was written. */
        INVALID,
        /** The named data centres are not heard; nothing was written. */
        NOT_HEARD,
        /** The platform could not be reached; the change is not made. */
        REFUSED,
        /** Whether the change was made could not be determined; repeat it with the same identifier. */
        UNKNOWN
    }

    /** Copies the list. */
    public ChangeOutcome {
        messages = List.copyOf(messages);
    }

    static ChangeOutcome of(Kind kind, long revision, String... messages) {
        return new ChangeOutcome(kind, revision, List.of(messages));
    }
}
