package org.cowslipbank.decision.entries;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Example;
import org.cowslipbank.config.TeamLimits;
import org.cowslipbank.decision.membership.FleetNode;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.MemberStatus;

class EndpointLookupTest {
    private static final DataCentreId HERE = new DataCentreId("here");
    private static final DataCentreId THERE = new DataCentreId("there");
    private static final TeamId TEAM = new TeamId("team");

    /** Guards against callers that are sent to a leaving or unreachable node, or needlessly to another data centre. */
    @Example
    void ownDataCentreComesFirstAndLeavingNodesAreNotNamed() {
        List<FleetNode> nodes = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            nodes.add(node("here-" + i, HERE, MemberStatus.ALIVE, i == 0, true));
            nodes.add(node("there-" + i, THERE, MemberStatus.ALIVE, false, i != 0));
        }
        nodes.add(node("here-suspect", HERE, MemberStatus.SUSPECT, false, true));
        EndpointAnswer answer = answer(nodes, true, 10);
        List<String> names =
                answer.nodes().stream().map(node -> node.vm().value()).toList();
        require(names.size() == 7 && !names.contains("here-0") && !names.contains("there-0"), names.toString());
        require(names.subList(0, 3).stream().allMatch(name -> name.startsWith("here-")), names.toString());
        require("here-suspect".equals(names.get(6)), names.toString());
        require(answer(nodes, true, 2).nodes().equals(answer.nodes().subList(0, 2)), "the limit changes the order");
    }

    /** Guards against a team that is refused below its limit because its sessions are spread over all nodes. */
    @Example
    void sessionsOfATeamStayOnItsNodes() {
        List<FleetNode> nodes = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            nodes.add(node("n" + i, HERE, MemberStatus.ALIVE, false, true));
        }
        Set<String> used = new HashSet<>();
        for (int session = 0; session < 200; session++) {
            EndpointQuery query = new EndpointQuery(TEAM, "s" + session, HERE, nodes, true, 3, 2, 30_000, 1_000);
            EndpointLookup.answer(query)
                    .nodes()
                    .forEach(node -> used.add(node.vm().value()));
        }
        require(used.size() == 3, "nodes of the team: " + used);
        require(TeamNodes.count(new TeamLimits(10, 10, 10, 1), 9) == 3, "small team");
        require(TeamNodes.count(new TeamLimits(120, 10, 10, 1), 9) == 8, "large team");
        require(TeamNodes.count(new TeamLimits(120, 10, 10, 1), 2) == 2, "small fleet");
    }

    /** Guards against a long validity of an answer from a node that was paused and has an outdated view. */
    @Example
    void unconfirmedAnswerIsValidForAShortTime() {
        List<FleetNode> nodes = List.of(node("here-1", HERE, MemberStatus.ALIVE, false, true));
        require(answer(nodes, false, 3).validMillis() == 2_000, "validity of an unconfirmed answer");
        require(answer(nodes, true, 3).validUntilMillis() == 31_000, "expiry of a confirmed answer");
    }

    /** Guards against a shutdown that interrupts callers who still hold a valid answer (P8). */
    @Example
    void drainingNodeServesUntilEveryIssuedAnswerHasExpired() {
        DrainPlan plan = DrainPlan.NONE.withIssuedAnswer(new EndpointAnswer(List.of(), 90_000, 91_000));
        require(plan.serveUntilMillis(5_000, 30_000) == 93_000, "expiry of own answers");
        require(DrainPlan.NONE.serveUntilMillis(5_000, 30_000) == 40_000, "expiry of other nodes' answers");
    }

    /**
     * Guards against two owners of a partition, and against an owner that acts on an unconfirmed view after a pause.
     */
    @Example
    void oneConfirmedNodeOwnsADuty() {
        List<FleetNode> nodes = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            nodes.add(node("n" + i, i < 3 ? HERE : THERE, MemberStatus.ALIVE, false, true));
        }
        for (int partition = 0; partition < 20; partition++) {
            int owners = 0;
            for (FleetNode node : nodes) {
                DutyQuery query = new DutyQuery(
                        Duty.CLAIMS_PARTITION,
                        "p" + partition,
                        List.of(THERE),
                        nodes,
                        node.node().vm(),
                        true);
                owners += DutyAssignment.assign(query).mine() ? 1 : 0;
                require(
                        DutyAssignment.assign(query)
                                .owner()
                                .orElseThrow()
                                .dataCentre()
                                .equals(THERE),
                        "owner outside the preferred data centre");
                DutyQuery unconfirmed =
                        new DutyQuery(query.duty(), query.name(), query.preferred(), nodes, query.self(), false);
                require(!DutyAssignment.assign(unconfirmed).mine(), "a node with an unconfirmed view owns the duty");
            }
            require(owners == 1, "owners: " + owners);
        }
    }

    private static EndpointAnswer answer(List<FleetNode> nodes, boolean confirmed, int limit) {
        return EndpointLookup.answer(
                new EndpointQuery(TEAM, "session", HERE, nodes, confirmed, nodes.size(), limit, 30_000, 1_000));
    }

    private static FleetNode node(
            String name, DataCentreId dataCentre, MemberStatus status, boolean leaving, boolean reachable) {
        return new FleetNode(
                new NodeAddress(new VmId(name), dataCentre, "10.0.0.1:7400", 8080), status, leaving, reachable);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
