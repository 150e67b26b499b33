package org.cowslipbank.decision.membership;

import java.util.Comparator;

/**
 * Identifies the subject of a fact.
 *
 * @param kind kind of the fact; of facts transmitted equally often, the outbox sends the earlier kind first
 * @param id identifier of the subject, unique among facts of this kind
 */
record FactKey(Kind kind, String id) implements Comparable<FactKey> {
    private static final Comparator<FactKey> KEY_ORDER =
            Comparator.comparing(FactKey::kind).thenComparing(FactKey::id);

    /** Kinds of fact. The constants' names are part of the table hash that nodes compare, so they must not change. */
    enum Kind {
        MEMBER,
        UPSTREAM,
        REACH,
        SUSPECT,
        LOAD
    }

    @Override
    public int compareTo(FactKey other) {
        return KEY_ORDER.compare(this, other);
    }
}
