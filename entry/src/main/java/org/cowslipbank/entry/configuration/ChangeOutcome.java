package org.cowslipbank.entry.configuration;

import java.util.List;

/**
 * Outcome of an operator's configuration change.
 *
 * @param kind the outcome
 * @param revision the revision that the change created; otherwise the latest one that this node knows
 * @param messages for the operator: conflicting changes, validation errors, or identifiers of the lagging or unreported
 *     data centres
 */
public record ChangeOutcome(Kind kind, long revision, List<String> messages) {
    /** Kinds of outcome. */
    public enum Kind {
        /** The change was made, and every data centre that may not lag has reported its revision. */
        ACCEPTED,
        /** The change was made, but the named data centres did not report its revision within the staleness bound. */
        LAGGING,
        /** The configuration already is as requested; nothing was written. */
        UNCHANGED,
        /** The expected revision is not the one in force; the messages list the changes made since. */
        CONFLICT,
        /** The changed configuration would be invalid or too large; nothing was written. */
        INVALID,
        /** No node of the named data centres has reported within the staleness bound; nothing was written. */
        NOT_HEARD,
        /** The platform could not be reached; the change was not made. */
        REFUSED,
        /** It could not be determined whether the change was made; repeat it with the same change identifier. */
        UNKNOWN
    }

    /** Makes the messages immutable. */
    public ChangeOutcome {
        messages = List.copyOf(messages);
    }

    static ChangeOutcome of(Kind kind, long revision, String... messages) {
        return new ChangeOutcome(kind, revision, List.of(messages));
    }
}
