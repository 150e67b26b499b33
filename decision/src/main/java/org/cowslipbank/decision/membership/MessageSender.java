package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.model.fleet.MemberStatus;

/** Builds messages, fills them with facts and sends them. */
final class MessageSender {
    /** Size of the part of the member table in one acknowledgement. */
    private static final int TABLE_PART_BYTES = 1_000;

    private MessageSender() {}

    /** Sends a probe and registers it as pending. */
    static void probe(StepContext context, PendingProbe probe) {
        long sequence = context.state.nextSequence++;
        context.state.pending.put(sequence, probe);
        SyncState sync = syncState(context, probe.target().dataCentre());
        Optional<String> cursor = sync.isNeeded() ? Optional.of(sync.cursor()) : Optional.empty();
        FactsBuilder facts = new FactsBuilder();
        addReceiverStatus(context, facts, probe.target());
        if (cursor.isPresent()) {
            facts.add(context.state.self);
        }
        if (probe.purpose() != PendingProbe.Purpose.RELAY) {
            Outbox.fill(context, facts, probe.target().dataCentre());
        }
        Outbox.charge(context, facts);
        context.send(probe.target(), Packet.probe(sequence, context.digest(cursor), facts.build()));
    }

    /** Answers a probe, with a part of the member table if the sender requests one. */
    static void acknowledge(StepContext context, NodeAddress to, Packet probe) {
        FactsBuilder facts = new FactsBuilder();
        addReceiverStatus(context, facts, to);
        Outbox.fill(context, facts, to.dataCentre());
        Outbox.charge(context, facts);
        int usedBytes = facts.bytes();
        Optional<String> next = probe.digest()
                .syncCursor()
                .filter(cursor -> context.state.syncBudgetBytes > 0)
                .map(cursor -> addTablePart(context, facts, cursor, context.state.isLocal(to)));
        context.state.syncBudgetBytes -= facts.bytes() - usedBytes;
        context.send(to, Packet.ack(probe.sequence(), context.digest(next), facts.build()));
    }

    /** Pushes the urgent facts of this step to a few nodes, and to other data centres if this node is a gateway. */
    static void pushUrgent(StepContext context) {
        if (context.urgent.isEmpty()) {
            return;
        }
        for (Member member : context.pick(context.liveLocalMembers(), context.state.settings.pushFanout())) {
            push(context, member.node());
        }
        for (DataCentreId dataCentre : context.state.gatewayTargets()) {
            context.pick(context.live(dataCentre), 1).forEach(member -> push(context, member.node()));
        }
    }

    private static void push(StepContext context, NodeAddress to) {
        FactsBuilder facts = new FactsBuilder();
        Outbox.fill(context, facts, context.urgent, to.dataCentre());
        if (facts.bytes() == 0) {
            return;
        }
        Outbox.charge(context, facts);
        context.send(to, Packet.push(context.digest(Optional.empty()), facts.build()));
    }

    /** Announces a new configuration revision to a few nodes, without facts. */
    static void pushRevision(StepContext context) {
        Packet packet = Packet.push(context.digest(Optional.empty()), GossipPayload.NONE);
        context.pick(context.liveLocalMembers(), context.state.settings.pushFanout())
                .forEach(member -> context.send(member.node(), packet));
        for (DataCentreId dataCentre : context.state.gatewayTargets()) {
            context.pick(context.live(dataCentre), 1).forEach(member -> context.send(member.node(), packet));
        }
    }

    /** Sends a suspect node the suspicion, so that it can refute it at once. */
    static void notifySuspect(StepContext context, NodeAddress suspect) {
        FactsBuilder facts = new FactsBuilder();
        addReceiverStatus(context, facts, suspect);
        context.send(suspect, Packet.push(context.digest(Optional.empty()), facts.build()));
    }

    private static void addReceiverStatus(StepContext context, FactsBuilder facts, NodeAddress receiver) {
        Member known = context.state.members.get(receiver.vm());
        if (known != null && known.fact().status() != MemberStatus.ALIVE) {
            facts.add(known.fact());
        }
    }

    /**
     * Adds the table entries after the cursor and returns the next cursor. Suspect and upstream facts come first, because
     * there are few of them and they affect every request.
     */
    private static String addTablePart(StepContext context, FactsBuilder facts, String cursor, boolean local) {
        int limitBytes = facts.bytes() + TABLE_PART_BYTES;
        for (FactKey key : tableKeys(context)) {
            String position = position(key);
            if (position.compareTo(cursor) <= 0) {
                continue;
            }
            Outbox.append(context, facts, key, local);
            if (facts.bytes() >= limitBytes) {
                return position;
            }
        }
        facts.add(context.state.self);
        return "";
    }

    private static List<FactKey> tableKeys(StepContext context) {
        List<FactKey> keys = new ArrayList<>();
        context.state.suspects.view().keySet().forEach(id -> keys.add(new FactKey(FactKey.Kind.SUSPECT, id)));
        context.state
                .upstreams
                .view()
                .keySet()
                .forEach(upstream -> keys.add(new FactKey(FactKey.Kind.UPSTREAM, upstream.value())));
        context.members(member -> true).forEach(member -> keys.add(FactMerger.memberKey(member.fact())));
        keys.sort(Comparator.comparing(MessageSender::position));
        return keys;
    }

    /** Sort key of a fact in the table; members come last. */
    private static String position(FactKey key) {
        return switch (key.kind()) {
            case SUSPECT -> "1" + key.id();
            case UPSTREAM -> "2" + key.id();
            default -> "3" + key.id();
        };
    }

    static SyncState syncState(StepContext context, DataCentreId dataCentre) {
        SyncState known = context.state.syncs.get(dataCentre);
        return known == null ? SyncState.AGREED : known;
    }
}
