package org.cowslipbank.decision.entries;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.fleet.MemberStatus;

/** Answers address lookups. */
public final class Entries {
    /** The decision for traces. */
    public static final Decision<EntryQuery, EntryAnswer> DECISION =
            new Decision<>("entries", EntryQuery.class, EntryAnswer.class, Entries::answer);

    /** Longest validity in milliseconds of an answer from an unconfirmed view, which may be wrong. */
    private static final long UNCONFIRMED_VALID_MILLIS = 2_000;

    private Entries() {}

    /**
     * Answers a lookup: nodes of the caller's data centre first, each part in rendezvous order of team and session.
     * Suspect nodes come last, so that a caller does not wait for a node that is about to be declared dead. If no node
     * takes work, the nodes out of reach are named, since the caller may reach them.
     *
     * @param query the query
     * @return the answer
     */
    public static EntryAnswer answer(EntryQuery query) {
        List<FleetNode> candidates =
                query.nodes().stream().filter(FleetNode::takesWork).toList();
        if (candidates.isEmpty()) {
            candidates = query.nodes().stream().filter(node -> !node.leaving()).toList();
        }
        String key = Rendezvous.key("entries", query.team().value(), query.session());
        List<FleetNode> ranked = Rendezvous.top(
                key, candidates, candidate -> candidate.node().vm().value(), candidates.size());
        List<NodeAddress> chosen = new ArrayList<>();
        append(chosen, ranked, query, true, MemberStatus.ALIVE);
        append(chosen, ranked, query, false, MemberStatus.ALIVE);
        append(chosen, ranked, query, true, MemberStatus.SUSPECT);
        append(chosen, ranked, query, false, MemberStatus.SUSPECT);
        long validMillis =
                query.confirmed() ? query.validMillis() : Math.min(query.validMillis(), UNCONFIRMED_VALID_MILLIS);
        return new EntryAnswer(chosen, validMillis, query.nowMillis() + validMillis);
    }

    private static void append(
            List<NodeAddress> chosen, List<FleetNode> ranked, EntryQuery query, boolean own, MemberStatus status) {
        ranked.stream()
                .filter(node -> node.status() == status)
                .filter(node -> node.node().dataCentre().equals(query.dataCentre()) == own)
                .limit(Math.max(0, query.limit() - chosen.size()))
                .forEach(node -> chosen.add(node.node()));
    }
}
