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

/** Endpoint lookup: chooses the entry nodes that a caller should use. */
public final class EndpointLookup {
    /** The decision as recorded in traces and replayed. */
    public static final Decision<EndpointQuery, EndpointAnswer> DECISION =
            new Decision<>("entries", EndpointQuery.class, EndpointAnswer.class, EndpointLookup::answer);

    /** Longest validity of an answer from an unconfirmed view, which may be outdated, in milliseconds. */
    private static final long UNCONFIRMED_VALID_MILLIS = 2_000;

    private EndpointLookup() {}

    /**
     * Chooses the nodes for a team and session. The team's own nodes come first, so that its limits and sessions are
     * kept on few nodes; among these, the nodes of the caller's data centre come first. Each group is in rendezvous
     * order of team and session. Suspect nodes come last, so that a caller does not wait for a node that is about to be
     * declared dead. If no node takes work, all nodes that are not leaving are candidates, since the caller may reach
     * nodes that this node cannot.
     *
     * @param query the caller and the nodes
     * @return the nodes to try in order, and how long the caller may use them
     */
    public static EndpointAnswer answer(EndpointQuery query) {
        List<FleetNode> candidates =
                query.nodes().stream().filter(FleetNode::acceptsWork).toList();
        if (candidates.isEmpty()) {
            candidates = query.nodes().stream().filter(node -> !node.leaving()).toList();
        }
        List<FleetNode> ranked =
                rank(candidates, Rendezvous.key("entries", query.team().value(), query.session()));
        Set<VmId> teamVms = teamNodeIds(candidates, query);
        List<NodeAddress> endpoints = new ArrayList<>();
        for (MemberStatus status : List.of(MemberStatus.ALIVE, MemberStatus.SUSPECT)) {
            for (boolean servesTeam : new boolean[] {true, false}) {
                List<FleetNode> group = ranked.stream()
                        .filter(node -> teamVms.contains(node.node().vm()) == servesTeam)
                        .toList();
                appendEndpoints(endpoints, group, query, true, status);
                appendEndpoints(endpoints, group, query, false, status);
            }
        }
        long validMillis =
                query.confirmed() ? query.validMillis() : Math.min(query.validMillis(), UNCONFIRMED_VALID_MILLIS);
        return new EndpointAnswer(endpoints, validMillis, query.nowMillis() + validMillis);
    }

    private static List<FleetNode> rank(List<FleetNode> candidates, String key) {
        return Rendezvous.top(
                key, candidates, candidate -> candidate.node().vm().value(), candidates.size());
    }

    private static Set<VmId> teamNodeIds(List<FleetNode> candidates, EndpointQuery query) {
        return rank(candidates, Rendezvous.key("team", query.team().value())).stream()
                .limit(query.teamNodes())
                .map(node -> node.node().vm())
                .collect(Collectors.toSet());
    }

    private static void appendEndpoints(
            List<NodeAddress> endpoints,
            List<FleetNode> ranked,
            EndpointQuery query,
            boolean inCallerDataCentre,
            MemberStatus status) {
        ranked.stream()
                .filter(node -> node.status() == status)
                .filter(node -> node.node().dataCentre().equals(query.dataCentre()) == inCallerDataCentre)
                .limit(Math.max(0, query.limit() - endpoints.size()))
                .forEach(node -> endpoints.add(node.node()));
    }
}
