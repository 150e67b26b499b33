package org.cowslipbank.entry.suspects;

import java.util.List;

import org.cowslipbank.decision.suspects.ClearFact;
import org.cowslipbank.decision.suspects.CrashFact;
import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.decision.suspects.SuspectFacts;

/**
 * Reply to a {@link SuspectQuery}.
 *
 * @param answer the arbiter's answer; null unless it was asked
 * @param renewed true if the arbiter renewed the grant
 * @param crashes crash facts of the replying node
 * @param clears clear facts of the replying node
 */
record SuspectReply(SuspectArbiter.Answer answer, boolean renewed, List<CrashFact> crashes, List<ClearFact> clears) {
    static final SuspectReply ACKNOWLEDGED = new SuspectReply(null, false, List.of(), List.of());

    static SuspectReply of(SuspectArbiter.Answer answer) {
        return new SuspectReply(answer, false, List.of(), List.of());
    }

    static SuspectReply ofRenewal(boolean renewed) {
        return new SuspectReply(null, renewed, List.of(), List.of());
    }

    static SuspectReply of(SuspectFacts facts) {
        return new SuspectReply(null, false, List.copyOf(facts.crashes()), List.copyOf(facts.clears()));
    }
}
