package org.cowslipbank.entry.suspects;

import java.util.List;

import org.cowslipbank.decision.suspects.ClearFact;
import org.cowslipbank.decision.suspects.CrashFact;
import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.decision.suspects.SuspectFacts;
import org.cowslipbank.model.VmId;

/**
 * A message between nodes about suspects.
 *
 * @param kind what is asked
 * @param node the asking node
 * @param fingerprint the fingerprint whose grant is renewed or returned
 * @param question the question to the arbiter, or null
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
        FACTS,
        PULL,
        ASK,
        RENEW,
        ENDED
    }

    static SuspectQuery pull(VmId node) {
        return new SuspectQuery(Kind.PULL, node, 0, null, List.of(), List.of(), null);
    }

    static SuspectQuery ask(SuspectArbiter.Question question) {
        return new SuspectQuery(
                Kind.ASK, question.node(), question.fingerprint(), question, List.of(), List.of(), null);
    }

    static SuspectQuery grant(Kind kind, VmId node, long fingerprint) {
        return new SuspectQuery(kind, node, fingerprint, null, List.of(), List.of(), null);
    }

    static SuspectQuery facts(VmId node, SuspectFacts before, SuspectFacts after) {
        List<CrashFact> crashes = after.crashes().stream()
                .filter(fact -> !before.crashes().contains(fact))
                .toList();
        List<ClearFact> clears = after.clears().stream()
                .filter(fact -> !before.clears().contains(fact))
                .toList();
        return new SuspectQuery(Kind.FACTS, node, 0, null, crashes, clears, null);
    }

    static SuspectQuery reservation(VmId node, Reservation reservation) {
        return new SuspectQuery(Kind.FACTS, node, 0, null, List.of(), List.of(), reservation);
    }
}
