package org.cowslipbank.decision.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;

/** The membership protocol as a pure state machine. Times are milliseconds on one clock that never goes back. */
public final class Membership {
    /** Time after a pause from which any acknowledgement confirms the node, even if the member tables still differ. */
    private static final long CONFIRM_BY_ANY_ACK_AFTER_MILLIS = 5_000;

    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    private Membership() {}

    /**
     * Result of a step.
     *
     * @param state the next state
     * @param effects the actions to carry out
     */
    public record Outcome(MembershipState state, List<FleetEffect> effects) {
        /** Makes an unmodifiable copy of the effects; null elements are rejected with NullPointerException. */
        public Outcome {
            effects = List.copyOf(effects);
        }
    }

    /**
     * Creates the state of a node that has just started. The node is unconfirmed until a probe is answered.
     *
     * @param settings the settings
     * @param self this node
     * @param incarnation the wall-clock milliseconds of the start, higher than those of earlier processes of this node
     * @param nowMillis the time
     * @return the state
     */
    public static MembershipState initialState(
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
        state.outbox.put(FactMerger.memberKey(fact), TransmissionCount.none(false));
        state.syncs.put(self.dataCentre(), SyncState.NEEDED);
        return state;
    }

    /**
     * Applies an event.
     *
     * @param state the state before the event, which is not modified
     * @param event the event
     * @param nowMillis the time
     * @param seed seed of the step's random choices
     * @return the next state and the effects
     */
    public static Outcome apply(MembershipState state, FleetEvent event, long nowMillis, long seed) {
        StepContext context = new StepContext(state.fork(), nowMillis, seed);
        detectPause(context);
        if (event instanceof FleetEvent.Tick) {
            onTick(context);
        } else if (event instanceof FleetEvent.Received received) {
            onReceived(context, received.from(), received.packet());
        } else if (event instanceof FleetEvent.NodesListed listed) {
            onListed(context, listed.nodes());
        } else if (event instanceof FleetEvent.Published published) {
            FactMerger.publish(context, published.facts());
        } else if (event instanceof FleetEvent.RevisionApplied revision) {
            onRevisionApplied(context, revision);
        } else if (event instanceof FleetEvent.Drain && !context.state.self.leaving()) {
            FactMerger.replaceSelf(context, context.state.self.incarnation() + 1, true);
        }
        MessageSender.pushUrgent(context);
        GossipPayload changedFacts = context.changedFacts.build();
        if (!changedFacts.isEmpty()) {
            context.effects.add(new FleetEffect.FactsChanged(changedFacts));
        }
        return new Outcome(context.state, context.effects);
    }

    /** Runs for every event, not only for ticks, because the first event after a pause may be a message. */
    private static void detectPause(StepContext context) {
        long elapsed = context.nowMillis - context.state.lastTickMillis;
        if (elapsed > context.state.settings.pauseDetectionMillis()) {
            context.state.lastTickMillis = context.nowMillis;
            Outbox.refill(context, elapsed);
            onPause(context);
        }
    }

    private static void onTick(StepContext context) {
        Outbox.refill(context, Math.max(0, context.nowMillis - context.state.lastTickMillis));
        context.state.lastTickMillis = context.nowMillis;
        Prober.tick(context);
        if (context.nowMillis >= context.state.nextSweepMillis) {
            context.state.nextSweepMillis = context.nowMillis + SWEEP_INTERVAL_MILLIS;
            FactMerger.sweep(context);
        }
    }

    /** Voids all timers that ran out during the pause: answers and refutations may have arrived without being processed. */
    private static void onPause(StepContext context) {
        MembershipState state = context.state;
        state.confirmed = false;
        state.ackedSincePause = false;
        state.unconfirmedSinceMillis = context.nowMillis;
        state.lastAckMillis = -1;
        state.pending.clear();
        state.crossFailures.clear();
        state.nextProbeMillis = context.nowMillis;
        state.incrementNodesVersion();
        context.members(member -> member.fact().status() == MemberStatus.SUSPECT)
                .forEach(member -> state.putMember(
                        new Member(member.fact(), context.nowMillis, member.listed(), member.listedLeaving())));
        context.effects.add(new FleetEffect.ConfirmationLost());
        Prober.probeAfterPause(context);
    }

    private static void onReceived(StepContext context, NodeAddress from, Packet packet) {
        if (from.vm().equals(context.state.self.vm())) {
            return;
        }
        if (context.state.members.get(from.vm()) == null) {
            context.state.putMember(new Member(unconfirmedMember(from), context.nowMillis, false, false));
        }
        FactMerger.merge(context, packet.facts());
        switch (packet.kind()) {
            case PROBE -> {
                readDigest(context, from, packet.digest(), true);
                MessageSender.acknowledge(context, from, packet);
            }
            case ACK -> {
                readDigest(context, from, packet.digest(), true);
                onAck(context, from, packet);
            }
            case PUSH -> readDigest(context, from, packet.digest(), false);
            case INDIRECT_PROBE -> onIndirectProbe(context, from, packet);
            default -> onIndirectResult(context, packet);
        }
    }

    /** A node known only from a list or its first message gets incarnation zero, below every fact about it. */
    private static MemberFact unconfirmedMember(NodeAddress node) {
        return new MemberFact(
                node.vm(), node.dataCentre(), node.address(), node.callerPort(), 0, MemberStatus.ALIVE, false);
    }

    private static void readDigest(StepContext context, NodeAddress from, FleetDigest digest, boolean compareTables) {
        if (digest.revision() > context.state.revision) {
            context.effects.add(new FleetEffect.NewerRevisionFound(digest.revision(), from));
        }
        if (compareTables) {
            SyncState known = MessageSender.syncState(context, from.dataCentre());
            SyncState next = known.withComparison(digest.tableHash() == context.state.tableHash);
            if (!next.equals(known)) {
                context.state.syncs.put(from.dataCentre(), next);
            }
        }
    }

    private static void onAck(StepContext context, NodeAddress from, Packet packet) {
        PendingProbe probe = context.state.pending.get(packet.sequence());
        if (probe == null || !probe.target().vm().equals(from.vm())) {
            return;
        }
        context.state.pending.remove(packet.sequence());
        context.state.lastAckMillis = context.nowMillis;
        packet.digest()
                .syncCursor()
                .ifPresent(cursor -> context.state.syncs.put(
                        from.dataCentre(),
                        MessageSender.syncState(context, from.dataCentre()).withCursor(cursor)));
        readConfirmation(context, probe, packet.digest());
        confirm(context, packet.digest());
        if (!context.state.isLocal(from)) {
            Prober.onRemoteAnswer(context, from.dataCentre());
        }
        probe.requester()
                .ifPresent(requester ->
                        context.send(requester, Packet.indirectResult(probe.requesterSequence(), from.vm(), true)));
    }

    /** The age was computed after the probe was sent, so the confirmation is no older than computed here. */
    private static void readConfirmation(StepContext context, PendingProbe probe, FleetDigest digest) {
        if (digest.revision() == context.state.revision && digest.confirmedAgeMillis() >= 0) {
            long confirmedAt = probe.sentMillis() - digest.confirmedAgeMillis();
            context.state.confirmedAtMillis = Math.max(context.state.confirmedAtMillis, confirmedAt);
        }
    }

    /** Confirms this node if the peer's table equals its own, or with any acknowledgement some time after the pause. */
    private static void confirm(StepContext context, FleetDigest digest) {
        context.state.ackedSincePause = true;
        boolean current = digest.tableHash() == context.state.tableHash;
        boolean confirmByAnyAck =
                context.nowMillis - context.state.unconfirmedSinceMillis >= CONFIRM_BY_ANY_ACK_AFTER_MILLIS;
        if (current || confirmByAnyAck) {
            markConfirmed(context);
        }
    }

    private static void markConfirmed(StepContext context) {
        if (!context.state.confirmed) {
            context.state.confirmed = true;
            context.state.version++;
            context.effects.add(new FleetEffect.Confirmed());
        }
    }

    private static void onIndirectProbe(StepContext context, NodeAddress from, Packet packet) {
        packet.subject()
                .map(context.state.members::get)
                .ifPresent(subject -> MessageSender.probe(
                        context, PendingProbe.relay(subject.node(), context.nowMillis, from, packet.sequence())));
    }

    private static void onIndirectResult(StepContext context, Packet packet) {
        PendingProbe probe = context.state.pending.get(packet.sequence());
        if (probe == null
                || packet.subject().filter(probe.target().vm()::equals).isEmpty()) {
            return;
        }
        if (packet.reachable()) {
            context.state.pending.remove(packet.sequence());
        } else {
            context.state.pending.put(packet.sequence(), probe.withFailedHelper());
        }
    }

    /** Adds listed nodes. A node missing from the list stays, because the list lags and probes detect dead nodes. */
    private static void onListed(StepContext context, List<ListedNode> nodes) {
        Set<VmId> named = new HashSet<>();
        nodes.forEach(listed -> named.add(listed.node().vm()));
        for (Member member : context.members(
                known -> known.listed() && !named.contains(known.fact().vm()))) {
            context.state.putMember(new Member(member.fact(), member.changedMillis(), false, false));
        }
        for (ListedNode listed : nodes) {
            NodeAddress node = listed.node();
            if (node.vm().equals(context.state.self.vm())) {
                continue;
            }
            Member known = context.state.members.get(node.vm());
            MemberFact fact = known == null ? unconfirmedMember(node) : known.fact();
            long changed = known == null ? context.nowMillis : known.changedMillis();
            Member next = new Member(fact, changed, true, listed.leaving());
            if (!next.equals(known)) {
                context.state.putMember(next);
            }
        }
    }

    private static void onRevisionApplied(StepContext context, FleetEvent.RevisionApplied event) {
        if (event.revision() < context.state.revision) {
            return;
        }
        boolean raised = event.revision() > context.state.revision;
        context.state.confirmedAtMillis = raised
                ? event.confirmedAtMillis()
                : Math.max(context.state.confirmedAtMillis, event.confirmedAtMillis());
        context.state.revision = event.revision();
        if (event.confirmedAtMillis() > context.state.unconfirmedSinceMillis && context.state.members.isEmpty()) {
            markConfirmed(context);
        }
        if (raised) {
            MessageSender.pushRevision(context);
        }
    }
}
