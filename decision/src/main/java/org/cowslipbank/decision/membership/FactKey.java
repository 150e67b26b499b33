package org.cowslipbank.decision.membership;

import java.util.Comparator;

/**
 * Names what a fact is about.
 *
 * @param kind kind of the fact; the order is the order of sending
 * @param id text that identifies the subject among facts of this kind
 */
record FactKey(Kind kind, String id) implements Comparable<FactKey> {
    private static final Comparator<FactKey> ORDER =
            Comparator.comparing(FactKey::kind).thenComparing(FactKey::id);

    /** Kinds of fact. */
    enum Kind {
        MEMBER,
        UPSTREAM,
        REACH,
        SUSPECT,
        LOAD
    }

    @Override
    public int compareTo(FactKey other) {
        return ORDER.compare(this, other);
    }
}
