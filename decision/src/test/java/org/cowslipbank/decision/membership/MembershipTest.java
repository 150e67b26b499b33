package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachabilityFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

class MembershipTest {
    private static final UpstreamId ENGINE = new UpstreamId("engine");

    /** Guards against views that differ for ever because facts arrived in another order or twice. */
    @Property(seed = "5", tries = 200)
    void factsMergeInAnyOrder(@ForAll long seed) {
        Random random = new Random(seed);
        List<GossipPayload> facts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            facts.add(randomFacts(random));
        }
        FleetView first = merged(facts);
        facts.addAll(facts.subList(0, 6));
        Collections.shuffle(facts, random);
        FleetView second = merged(facts);
        require(first.nodes().equals(second.nodes()), "nodes differ");
        require(first.leavingUpstreams().equals(second.leavingUpstreams()), "leaving upstreams differ");
        require(first.crashes().equals(second.crashes()), "crashes differ");
        require(first.loads().equals(second.loads()), "loads differ");
    }

    private static FleetView merged(List<GossipPayload> facts) {
        StepContext context = new StepContext(
                Membership.initialState(MembershipSettings.SMALL_FLEET, FakeFleet.node(0), 100, 100), 100, 1);
        // Members are known beforehand, since a death of an unknown node is ignored.
        for (int i = 1; i < 4; i++) {
            context.state.putMember(new Member(member(i, 0, MemberStatus.ALIVE, false), 100, true, false));
        }
        facts.forEach(each -> FactMerger.merge(context, each));
        return FleetView.of(context.state);
    }

    private static MemberFact member(int index, long incarnation, MemberStatus status, boolean leaving) {
        NodeAddress node = FakeFleet.node(index);
        return new MemberFact(
                node.vm(), node.dataCentre(), node.address(), node.callerPort(), incarnation, status, leaving);
    }

    private static GossipPayload randomFacts(Random random) {
        MemberStatus status = MemberStatus.values()[random.nextInt(3)];
        int version = random.nextInt(3);
        return new GossipPayload(
                List.of(member(1 + random.nextInt(3), version, status, random.nextBoolean())),
                List.of(new UpstreamFact(ENGINE, random.nextBoolean(), version, 60)),
                List.of(new ReachabilityFact(new VmId("vm-1"), new DataCentreId("far"), random.nextBoolean(), version)),
                List.of(new SuspectFact(random.nextInt(2), random.nextInt(2), random.nextBoolean(), 60)),
                List.of(new LoadFact(ENGINE, version, random.nextInt(2), 1, 1, 1, 1, false, 0)));
    }

    /** Guards against a killed node that keeps its duties because it is not detected as dead (P7). */
    @Example
    void killedNodeIsDeadEverywhereAndReturnsWithItsNextProcess() {
        FakeFleet fleet = settledFleet(5);
        fleet.stopped[2] = true;
        fleet.runFor(12_000);
        require(fleet.considersDead(0, 2) && fleet.considersDead(4, 2), "killed node is not dead everywhere");
        fleet.stopped[2] = false;
        fleet.states.set(
                2,
                Membership.initialState(
                        MembershipSettings.SMALL_FLEET, FakeFleet.node(2), fleet.nowMillis, fleet.nowMillis));
        fleet.runFor(10_000);
        require(!fleet.considersDead(0, 2) && !fleet.considersDead(4, 2), "restarted node is still dead");
    }

    /** Guards against a paused node that resumes and acts on outdated state (section 4, expired leases). */
    @Example
    void pausedNodeIsUnconfirmedAndSuspectsNoNodeUntilAProbeIsAnswered() {
        FakeFleet fleet = settledFleet(4);
        require(fleet.states.get(1).isConfirmed(), "not confirmed at first");
        fleet.stopped[1] = true;
        long validUntil = fleet.states.get(1).validUntilMillis();
        fleet.runFor(60_000);
        require(validUntil < fleet.nowMillis, "snapshot of a paused node is still valid");
        fleet.stopped[1] = false;
        fleet.dropsPacket = (from, to) -> to == 1;
        fleet.runFor(20_000);
        require(!fleet.states.get(1).isConfirmed(), "confirmed without an answer");
        require(fleet.view(1).deadNodes().isEmpty(), "a paused node declared others dead");
        fleet.dropsPacket = (from, to) -> false;
        fleet.runFor(8_000);
        require(fleet.states.get(1).isConfirmed() && !fleet.considersDead(0, 1), "not confirmed after answers");
    }

    /** Guards against flapping when a node can send but not receive, or receive but not send. */
    @Example
    void oneWayLossMakesAtMostTheAffectedNodeDead() {
        for (boolean inbound : new boolean[] {true, false}) {
            FakeFleet fleet = settledFleet(5);
            fleet.dropsPacket = (from, to) -> (inbound ? to : from) == 3;
            int changes = 0;
            boolean dead = false;
            for (int i = 0; i < 600; i++) {
                fleet.runFor(100);
                changes += fleet.considersDead(0, 3) == dead ? 0 : 1;
                dead = fleet.considersDead(0, 3);
                require(Set.of(FakeFleet.node(3).vm()).containsAll(fleet.view(0).deadNodes()), "another node died");
            }
            require(changes == 1, "changes: " + changes);
        }
    }

    /** Guards against halves of a data centre that still consider each other dead after a partition has healed. */
    @Example
    void healedPartitionInADataCentreIsDetected() {
        FakeFleet fleet = settledFleet(6);
        fleet.dropsPacket = (from, to) -> from < 3 != to < 3;
        fleet.runFor(30_000);
        require(fleet.considersDead(0, 5) && fleet.considersDead(5, 0), "halves do not consider each other dead");
        fleet.dropsPacket = (from, to) -> false;
        fleet.runFor(30_000);
        for (int i = 0; i < 6; i++) {
            require(
                    fleet.view(i).nodes().size() == 6,
                    "node " + i + " sees " + fleet.view(i).nodes().size());
        }
    }

    /** Guards against a live node that is dropped because it is missing from the platform's lagging list. */
    @Example
    void nodeMissingFromTheListStaysAndListedLeavingNodeTakesNoWork() {
        FakeFleet fleet = settledFleet(3);
        fleet.step(0, new FleetEvent.NodesListed(List.of(new ListedNode(FakeFleet.node(1), true))));
        fleet.runFor(5_000);
        require(fleet.view(0).nodes().size() == 3, "node missing from the list was dropped");
        require(fleet.view(0).nodes().stream().filter(FleetNode::acceptsWork).count() == 2, "leaving node takes work");
    }

    /** Guards against a fact that never expires because nodes keep gossiping it. */
    @Example
    void expiredFactsStayGone() {
        FakeFleet fleet = settledFleet(4);
        fleet.step(
                0,
                new FleetEvent.Published(new GossipPayload(
                        List.of(),
                        List.of(new UpstreamFact(ENGINE, true, fleet.nowMillis, 20)),
                        List.of(),
                        List.of(),
                        List.of())));
        fleet.runFor(1_000);
        require(fleet.view(3).leavingUpstreams().contains(ENGINE), "fact did not spread");
        fleet.runFor(40_000);
        require(fleet.view(3).leavingUpstreams().isEmpty(), "fact is still present after its expiry");
    }

    /** Guards against a revision that decreases, or a confirmation that looks newer after gossip (P9). */
    @Example
    void revisionNeverFallsAndConfirmationAges() {
        FakeFleet fleet = settledFleet(3);
        fleet.step(0, new FleetEvent.RevisionApplied(7, fleet.nowMillis));
        long confirmedAt = fleet.nowMillis;
        fleet.step(1, new FleetEvent.RevisionApplied(7, -1));
        fleet.step(1, new FleetEvent.RevisionApplied(6, fleet.nowMillis + 1));
        fleet.runFor(30_000);
        require(fleet.states.get(1).revision() == 7, "revision fell");
        require(fleet.states.get(1).confirmedAtMillis() == confirmedAt, "confirmation drifted");
        require(
                fleet.effects.stream().anyMatch(FleetEffect.NewerRevisionFound.class::isInstance),
                "no node detected that a peer has a newer revision");
    }

    private static FakeFleet settledFleet(int count) {
        FakeFleet fleet = new FakeFleet(count);
        fleet.runFor(10_000);
        return fleet;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
