package org.cowslipbank.decision.entries;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.decision.trace.Decision;
import org.cowslipbank.model.VmId;
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
     * Answers a lookup: the team's nodes first, so that its limits and sessions meet on few nodes; among them those of
     * the caller's data centre first, each part in rendezvous order of team and session.
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
        List<FleetNode> ranked =
                ranked(candidates, Rendezvous.key("entries", query.team().value(), query.session()));
        Set<VmId> team = teamNodes(candidates, query);
        List<NodeAddress> chosen = new ArrayList<>();
        for (MemberStatus status : List.of(MemberStatus.ALIVE, MemberStatus.SUSPECT)) {
            for (boolean ofTeam : new boolean[] {true, false}) {
                List<FleetNode> part = ranked.stream()
                        .filter(node -> team.contains(node.node().vm()) == ofTeam)
                        .toList();
                append(chosen, part, query, true, status);
                append(chosen, part, query, false, status);
            }
        }
        long validMillis =
                query.confirmed() ? query.validMillis() : Math.min(query.validMillis(), UNCONFIRMED_VALID_MILLIS);
        return new EntryAnswer(chosen, validMillis, query.nowMillis() + validMillis);
    }

    private static List<FleetNode> ranked(List<FleetNode> candidates, String key) {
        return Rendezvous.top(
                key, candidates, candidate -> candidate.node().vm().value(), candidates.size());
    }

    private static Set<VmId> teamNodes(List<FleetNode> candidates, EntryQuery query) {
        return ranked(candidates, Rendezvous.key("team", query.team().value())).stream()
                .limit(query.teamNodes())
                .map(node -> node.node().vm())
                .collect(Collectors.toSet());
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
