package org.cowslipbank.entry.suspects;

import java.util.List;

import org.cowslipbank.decision.suspects.ClearFact;
import org.cowslipbank.decision.suspects.CrashFact;
import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.decision.suspects.SuspectFacts;
import org.cowslipbank.model.VmId;

/**
 * A query or update about suspects that one node sends to another.
 *
 * @param kind what the receiver is to do
 * @param node the sending node
 * @param fingerprint fingerprint of the suspect that is asked about or holds the grant; zero for the other kinds
 * @param question the question to the arbiter; null unless the kind is {@link Kind#ASK}
 * @param crashes crash facts to merge
 * @param clears clear facts to merge
 * @param reservation an upstream to keep free or to release, or null
 */
record SuspectQuery(
        Kind kind,
        VmId node,
        long fingerprint,
        SuspectArbiter.Question question,
        List<CrashFact> crashes,
        List<ClearFact> clears,
        Reservation reservation) {
    enum Kind {
        /** Merge the facts and apply the reservation, if any. */
        FACTS,
        /** Reply with all known facts. */
        PULL,
        /** Ask the arbiter for the next run of a suspect. */
        ASK,
        /** Renew a grant at the arbiter. */
        RENEW,
        /** Release a grant at the arbiter; its run has ended or was not begun. */
        ENDED
    }

    static SuspectQuery pull(VmId node) {
        return new SuspectQuery(Kind.PULL, node, 0, null, List.of(), List.of(), null);
    }

    static SuspectQuery ask(SuspectArbiter.Question question) {
        return new SuspectQuery(
                Kind.ASK, question.node(), question.fingerprint(), question, List.of(), List.of(), null);
    }

    static SuspectQuery forGrant(Kind kind, VmId node, long fingerprint) {
        return new SuspectQuery(kind, node, fingerprint, null, List.of(), List.of(), null);
    }

    static SuspectQuery newFacts(VmId node, SuspectFacts before, SuspectFacts after) {
        List<CrashFact> crashes = after.crashes().stream()
                .filter(fact -> !before.crashes().contains(fact))
                .toList();
        List<ClearFact> clears = after.clears().stream()
                .filter(fact -> !before.clears().contains(fact))
                .toList();
        return new SuspectQuery(Kind.FACTS, node, 0, null, crashes, clears, null);
    }

    static SuspectQuery forReservation(VmId node, Reservation reservation) {
        return new SuspectQuery(Kind.FACTS, node, 0, null, List.of(), List.of(), reservation);
    }
}
