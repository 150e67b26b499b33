package org.cowslipbank.decision.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.Facts;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;

/** The membership protocol as a state machine. Times are milliseconds on one clock that never goes back. */
public final class Membership {
    /** Time in milliseconds after a pause from which any answer confirms the node, even if tables still differ. */
    private static final long CONFIRM_ANYWAY_MILLIS = 5_000;

    private static final long SWEEP_MILLIS = 1_000;

    private Membership() {}

    /**
     * The result of a step.
     *
     * @param state the next state
     * @param effects what the shell does
     */
    public record Outcome(MembershipState state, List<FleetEffect> effects) {
        /** Copies the effects. */
        public Outcome {
            effects = List.copyOf(effects);
        }
    }

    /**
     * Creates the state of a node that has just started. It holds no authority until a probe is answered.
     *
     * @param settings the settings
     * @param self this node
     * @param incarnation the wall-clock milliseconds of the start, so that it exceeds those of earlier processes
     * @param nowMillis the time
     * @return the state
     */
    public static MembershipState start(
            MembershipSettings settings, NodeAddress self, long incarnation, long nowMillis) {
        MemberFact fact = new MemberFact(
                self.vm(),
                self.dataCentre(),
                self.address(),
                self.callerPort(),
                incarnation,
                MemberStatus.ALIVE,
                false);
        MembershipState state = new MembershipState(settings, fact, nowMillis);
        state.outbox.put(FactStore.memberKey(fact), Transmissions.none(false));
        state.syncs.put(self.dataCentre(), SyncState.NEEDED);
        return state;
    }

    /**
     * Takes one step.
     *
     * @param state the state, which stays as it is
     * @param event what happens
     * @param nowMillis the time
     * @param seed seed of the step's random choices
     * @return the next state and the effects
     */
    public static Outcome step(MembershipState state, FleetEvent event, long nowMillis, long seed) {
        Step step = new Step(state.fork(), nowMillis, seed);
        advance(step);
        if (event instanceof FleetEvent.Tick) {
            tick(step);
        } else if (event instanceof FleetEvent.Received received) {
            receive(step, received.from(), received.packet());
        } else if (event instanceof FleetEvent.Listed listed) {
            list(step, listed.nodes());
        } else if (event instanceof FleetEvent.Published published) {
            FactStore.publish(step, published.facts());
        } else if (event instanceof FleetEvent.RevisionInForce revision) {
            applyRevision(step, revision);
        } else if (event instanceof FleetEvent.Drain && !step.state.self.leaving()) {
            FactStore.replaceSelf(step, step.state.self.incarnation() + 1, true);
        }
        Messenger.pushUrgent(step);
        Facts learned = step.learned.build();
        if (!learned.isEmpty()) {
            step.effects.add(new FleetEffect.Learned(learned));
        }
        return new Outcome(step.state, step.effects);
    }

    /** Every event checks the time since the last tick, since a message may be handled first after a pause. */
    private static void advance(Step step) {
        long elapsed = step.nowMillis - step.state.lastTickMillis;
        if (elapsed > step.state.settings.pauseMillis()) {
            step.state.lastTickMillis = step.nowMillis;
            Outbox.refill(step, elapsed);
            loseAuthority(step);
        }
    }

    private static void tick(Step step) {
        Outbox.refill(step, Math.max(0, step.nowMillis - step.state.lastTickMillis));
        step.state.lastTickMillis = step.nowMillis;
        Prober.tick(step);
        if (step.nowMillis >= step.state.nextSweepMillis) {
            step.state.nextSweepMillis = step.nowMillis + SWEEP_MILLIS;
            FactStore.sweep(step);
        }
    }

    /** What was due during the pause is void: answers may have come and suspects may have refuted unheard. */
    private static void loseAuthority(Step step) {
        MembershipState state = step.state;
        state.confirmed = false;
        state.ackedSincePause = false;
        state.unconfirmedSinceMillis = step.nowMillis;
        state.lastAckMillis = -1;
        state.pending.clear();
        state.crossFailures.clear();
        state.nextProbeMillis = step.nowMillis;
        state.nodesChanged();
        step.members(member -> member.fact().status() == MemberStatus.SUSPECT)
                .forEach(member -> state.putMember(
                        new Member(member.fact(), step.nowMillis, member.listed(), member.listedLeaving())));
        step.effects.add(new FleetEffect.AuthorityLost());
        Prober.probeAfterPause(step);
    }

    private static void receive(Step step, NodeAddress from, Packet packet) {
        if (from.vm().equals(step.state.self.vm())) {
            return;
        }
        if (step.state.members.get(from.vm()) == null) {
            step.state.putMember(new Member(unproved(from), step.nowMillis, false, false));
        }
        FactStore.merge(step, packet.facts());
        switch (packet.kind()) {
            case PROBE -> {
                readDigest(step, from, packet.digest(), true);
                Messenger.acknowledge(step, from, packet);
            }
            case ACK -> {
                readDigest(step, from, packet.digest(), true);
                acknowledged(step, from, packet);
            }
            case PUSH -> readDigest(step, from, packet.digest(), false);
            case INDIRECT_PROBE -> relay(step, from, packet);
            default -> helped(step, packet);
        }
    }

    /** A node known only from a list or its first message has incarnation zero, below every real statement. */
    private static MemberFact unproved(NodeAddress node) {
        return new MemberFact(
                node.vm(), node.dataCentre(), node.address(), node.callerPort(), 0, MemberStatus.ALIVE, false);
    }

    private static void readDigest(Step step, NodeAddress from, FleetDigest digest, boolean compareTables) {
        if (digest.revision() > step.state.revision) {
            step.effects.add(new FleetEffect.RevisionBehind(digest.revision(), from));
        }
        if (compareTables) {
            SyncState known = Messenger.sync(step, from.dataCentre());
            SyncState next = known.compared(digest.tableHash() == step.state.tableHash);
            if (!next.equals(known)) {
                step.state.syncs.put(from.dataCentre(), next);
            }
        }
    }

    private static void acknowledged(Step step, NodeAddress from, Packet packet) {
        Pending probe = step.state.pending.get(packet.sequence());
        if (probe == null || !probe.target().vm().equals(from.vm())) {
            return;
        }
        step.state.pending.remove(packet.sequence());
        step.state.lastAckMillis = step.nowMillis;
        packet.digest()
                .syncCursor()
                .ifPresent(cursor -> step.state.syncs.put(
                        from.dataCentre(),
                        Messenger.sync(step, from.dataCentre()).at(cursor)));
        readConfirmation(step, probe, packet.digest());
        confirm(step, packet.digest());
        if (!step.state.isOwnDataCentre(from)) {
            Prober.answeredAcross(step, from.dataCentre());
        }
        probe.requester()
                .ifPresent(requester ->
                        step.send(requester, Packet.indirectResult(probe.requesterSequence(), from.vm(), true)));
    }

    /** The age was taken after the probe was sent, so the confirmation is at least as young as computed here. */
    private static void readConfirmation(Step step, Pending probe, FleetDigest digest) {
        if (digest.revision() == step.state.revision && digest.confirmedAgeMillis() >= 0) {
            long confirmedAt = probe.sentMillis() - digest.confirmedAgeMillis();
            step.state.confirmedAtMillis = Math.max(step.state.confirmedAtMillis, confirmedAt);
        }
    }

    /** An equal table proves that the node's view is current; failing that, any answer after a while. */
    private static void confirm(Step step, FleetDigest digest) {
        step.state.ackedSincePause = true;
        boolean current = digest.tableHash() == step.state.tableHash;
        boolean late = step.nowMillis - step.state.unconfirmedSinceMillis >= CONFIRM_ANYWAY_MILLIS;
        if (current || late) {
            markConfirmed(step);
        }
    }

    private static void markConfirmed(Step step) {
        if (!step.state.confirmed) {
            step.state.confirmed = true;
            step.state.version++;
            step.effects.add(new FleetEffect.AuthorityConfirmed());
        }
    }

    private static void relay(Step step, NodeAddress from, Packet packet) {
        packet.subject()
                .map(step.state.members::get)
                .ifPresent(subject ->
                        Messenger.probe(step, Pending.relay(subject.node(), step.nowMillis, from, packet.sequence())));
    }

    private static void helped(Step step, Packet packet) {
        Pending probe = step.state.pending.get(packet.sequence());
        if (probe == null
                || packet.subject().filter(probe.target().vm()::equals).isEmpty()) {
            return;
        }
        if (packet.reachable()) {
            step.state.pending.remove(packet.sequence());
        } else {
            step.state.pending.put(packet.sequence(), probe.withRefusal());
        }
    }

    /** Adds listed nodes. A node that is missing from the list stays: the list lags, and probes judge. */
    private static void list(Step step, List<ListedNode> nodes) {
        Set<VmId> named = new HashSet<>();
        nodes.forEach(listed -> named.add(listed.node().vm()));
        for (Member member : step.members(
                known -> known.listed() && !named.contains(known.fact().vm()))) {
            step.state.putMember(new Member(member.fact(), member.changedMillis(), false, false));
        }
        for (ListedNode listed : nodes) {
            NodeAddress node = listed.node();
            if (node.vm().equals(step.state.self.vm())) {
                continue;
            }
            Member known = step.state.members.get(node.vm());
            MemberFact fact = known == null ? unproved(node) : known.fact();
            long changed = known == null ? step.nowMillis : known.changedMillis();
            Member next = new Member(fact, changed, true, listed.leaving());
            if (!next.equals(known)) {
                step.state.putMember(next);
            }
        }
    }

    private static void applyRevision(Step step, FleetEvent.RevisionInForce event) {
        if (event.revision() < step.state.revision) {
            return;
        }
        boolean raised = event.revision() > step.state.revision;
        step.state.confirmedAtMillis =
                raised ? event.confirmedAtMillis() : Math.max(step.state.confirmedAtMillis, event.confirmedAtMillis());
        step.state.revision = event.revision();
        if (event.confirmedAtMillis() > step.state.unconfirmedSinceMillis && step.state.members.isEmpty()) {
            markConfirmed(step);
        }
        if (raised) {
            Messenger.pushRevision(step);
        }
    }
}
