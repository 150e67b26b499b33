package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachabilityFact;

/**
 * Immutable snapshot of the fleet in the view of one node.
 *
 * @param self this node
 * @param draining true once this node has started draining
 * @param nodes all nodes that are not dead, this one included, in ascending order
 * @param deadNodes nodes that are considered dead
 * @param unreachable data centres that no gateway of the local data centre can reach
 * @param leavingUpstreams upstreams that accept no new work
 * @param loads load digests by upstream
 * @param crashes by request fingerprint, the number of crashes at which the request was in flight and not cleared
 * @param version {@link MembershipState#version()} of the state behind the view
 * @param nodesVersion version of the nodes in that state, which does not change with every load digest
 */
public record FleetView(
        NodeAddress self,
        boolean draining,
        List<FleetNode> nodes,
        Set<VmId> deadNodes,
        Set<DataCentreId> unreachable,
        Set<UpstreamId> leavingUpstreams,
        Map<UpstreamId, ObservedLoad> loads,
        Map<Long, Integer> crashes,
        long version,
        long nodesVersion) {
    /**
     * Makes unmodifiable copies of the collections; null elements, keys and values are rejected with
     * NullPointerException.
     */
    public FleetView {
        nodes = List.copyOf(nodes);
        deadNodes = Set.copyOf(deadNodes);
        unreachable = Set.copyOf(unreachable);
        leavingUpstreams = Set.copyOf(leavingUpstreams);
        loads = Map.copyOf(loads);
        crashes = Map.copyOf(crashes);
    }

    /**
     * Returns the view of a state.
     *
     * @param state the state
     * @return the view
     */
    public static FleetView of(MembershipState state) {
        Set<DataCentreId> unreachable = unreachable(state);
        NodeAddress self = new NodeAddress(
                state.self.vm(), state.self.dataCentre(), state.self.address(), state.self.callerPort());
        List<FleetNode> nodes = new ArrayList<>();
        nodes.add(new FleetNode(self, MemberStatus.ALIVE, state.self.leaving(), true));
        Set<VmId> dead = new HashSet<>();
        for (Member member : state.members.view().values()) {
            if (member.isDead()) {
                dead.add(member.fact().vm());
            } else {
                nodes.add(node(member, unreachable));
            }
        }
        nodes.sort((left, right) -> left.node().vm().compareTo(right.node().vm()));
        return withFacts(state, self, nodes, dead, unreachable);
    }

    /**
     * Returns the view of a state and reuses the nodes of an earlier view of the same node if they have not changed.
     *
     * @param state the state
     * @param earlier a view of an earlier state of the same node
     * @return the view
     */
    public static FleetView of(MembershipState state, FleetView earlier) {
        if (earlier.version == state.version) {
            return earlier;
        }
        if (earlier.nodesVersion != state.nodesVersion) {
            return of(state);
        }
        return withFacts(state, earlier.self, earlier.nodes, earlier.deadNodes, earlier.unreachable);
    }

    private static FleetView withFacts(
            MembershipState state,
            NodeAddress self,
            List<FleetNode> nodes,
            Set<VmId> dead,
            Set<DataCentreId> unreachable) {
        return new FleetView(
                self,
                state.self.leaving(),
                nodes,
                dead,
                unreachable,
                leavingUpstreams(state),
                loads(state),
                crashes(state),
                state.version,
                state.nodesVersion);
    }

    private static FleetNode node(Member member, Set<DataCentreId> unreachable) {
        boolean leaving = member.fact().leaving() || member.listedLeaving();
        boolean reachable = !unreachable.contains(member.fact().dataCentre());
        return new FleetNode(member.node(), member.fact().status(), leaving, reachable);
    }

    /** A data centre is unreachable if all its gateways have published that they cannot reach it. */
    private static Set<DataCentreId> unreachable(MembershipState state) {
        if (state.reach.view().values().stream().allMatch(ReachabilityFact::reachable)) {
            return Collections.emptySet();
        }
        Set<DataCentreId> unreachable = new TreeSet<>();
        for (DataCentreId dataCentre : state.otherDataCentres()) {
            List<ReachabilityFact> facts = state.gateways(dataCentre).stream()
                    .map(gateway ->
                            state.reach.get(FactMerger.reachId(new ReachabilityFact(gateway, dataCentre, true, 0))))
                    .toList();
            if (facts.stream().allMatch(fact -> fact != null && !fact.reachable())) {
                unreachable.add(dataCentre);
            }
        }
        return unreachable;
    }

    private static Set<UpstreamId> leavingUpstreams(MembershipState state) {
        Set<UpstreamId> leaving = new HashSet<>();
        state.upstreams.view().forEach((upstream, timedFact) -> {
            if (timedFact.fact().leaving()) {
                leaving.add(upstream);
            }
        });
        return leaving;
    }

    private static Map<UpstreamId, ObservedLoad> loads(MembershipState state) {
        Map<UpstreamId, ObservedLoad> loads = new HashMap<>();
        state.loads
                .view()
                .forEach((upstream, timedFact) ->
                        loads.put(upstream, new ObservedLoad(timedFact.fact(), timedFact.atMillis())));
        return loads;
    }

    private static Map<Long, Integer> crashes(MembershipState state) {
        Map<Long, Integer> crashes = new HashMap<>();
        state.suspects.view().values().stream()
                .filter(timedFact -> !timedFact.fact().cleared())
                .forEach(timedFact -> crashes.merge(timedFact.fact().fingerprint(), 1, Integer::sum));
        return crashes;
    }
}
