package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.fleet.Facts;
import org.cowslipbank.model.fleet.MemberStatus;

/** Builds messages with their facts. */
final class Messenger {
    /** Bytes of member states in one part of a table that a peer asked for. */
    private static final int SYNC_BYTES = 1_000;

    private Messenger() {}

    /** Sends a probe and remembers it. */
    static void probe(Step step, Pending probe) {
        long sequence = step.state.nextSequence++;
        step.state.pending.put(sequence, probe);
        SyncState sync = sync(step, probe.target().dataCentre());
        Optional<String> cursor = sync.isNeeded() ? Optional.of(sync.cursor()) : Optional.empty();
        FactsBuilder facts = new FactsBuilder();
        addAbout(step, facts, probe.target());
        if (cursor.isPresent()) {
            facts.add(step.state.self);
        }
        if (probe.purpose() != Pending.Purpose.RELAY) {
            Outbox.fill(step, facts, probe.target().dataCentre());
        }
        Outbox.charge(step, facts);
        step.send(probe.target(), Packet.probe(sequence, step.digest(cursor), facts.build()));
    }

    /** Answers a probe, with a part of the member table if the sender asks for one. */
    static void acknowledge(Step step, NodeAddress to, Packet probe) {
        FactsBuilder facts = new FactsBuilder();
        addAbout(step, facts, to);
        Outbox.fill(step, facts, to.dataCentre());
        Outbox.charge(step, facts);
        int usedBytes = facts.bytes();
        Optional<String> next = probe.digest()
                .syncCursor()
                .filter(cursor -> step.state.syncBudgetBytes > 0)
                .map(cursor -> addTablePart(step, facts, cursor, step.state.isOwnDataCentre(to)));
        step.state.syncBudgetBytes -= facts.bytes() - usedBytes;
        step.send(to, Packet.ack(probe.sequence(), step.digest(next), facts.build()));
    }

    /** Sends the step's urgent facts at once to a few nodes, and to other data centres if this node is a gateway. */
    static void pushUrgent(Step step) {
        if (step.urgent.isEmpty()) {
            return;
        }
        for (Member member : step.pick(step.ownLive(), step.state.settings.pushFanout())) {
            push(step, member.node());
        }
        for (DataCentreId dataCentre : step.state.gatewayTo()) {
            step.pick(step.live(dataCentre), 1).forEach(member -> push(step, member.node()));
        }
    }

    private static void push(Step step, NodeAddress to) {
        FactsBuilder facts = new FactsBuilder();
        Outbox.fill(step, facts, step.urgent, to.dataCentre());
        if (facts.bytes() == 0) {
            return;
        }
        Outbox.charge(step, facts);
        step.send(to, Packet.push(step.digest(Optional.empty()), facts.build()));
    }

    /** Tells a few nodes of a new configuration revision, without facts. */
    static void pushRevision(Step step) {
        Packet packet = Packet.push(step.digest(Optional.empty()), Facts.NONE);
        step.pick(step.ownLive(), step.state.settings.pushFanout()).forEach(member -> step.send(member.node(), packet));
        for (DataCentreId dataCentre : step.state.gatewayTo()) {
            step.pick(step.live(dataCentre), 1).forEach(member -> step.send(member.node(), packet));
        }
    }

    /** Tells a suspect node of the suspicion, so that it can refute at once. */
    static void accuse(Step step, NodeAddress suspect) {
        FactsBuilder facts = new FactsBuilder();
        addAbout(step, facts, suspect);
        step.send(suspect, Packet.push(step.digest(Optional.empty()), facts.build()));
    }

    private static void addAbout(Step step, FactsBuilder facts, NodeAddress receiver) {
        Member known = step.state.members.get(receiver.vm());
        if (known != null && known.fact().status() != MemberStatus.ALIVE) {
            facts.add(known.fact());
        }
    }

    /**
     * Adds facts after the cursor and returns the next cursor. Upstream and suspect facts come first, because they are
     * few and matter for every request.
     */
    private static String addTablePart(Step step, FactsBuilder facts, String cursor, boolean own) {
        int limitBytes = facts.bytes() + SYNC_BYTES;
        for (FactKey key : tableKeys(step)) {
            String position = position(key);
            if (position.compareTo(cursor) <= 0) {
                continue;
            }
            Outbox.append(step, facts, key, own);
            if (facts.bytes() >= limitBytes) {
                return position;
            }
        }
        facts.add(step.state.self);
        return "";
    }

    private static List<FactKey> tableKeys(Step step) {
        List<FactKey> keys = new ArrayList<>();
        step.state.suspects.view().keySet().forEach(id -> keys.add(new FactKey(FactKey.Kind.SUSPECT, id)));
        step.state
                .upstreams
                .view()
                .keySet()
                .forEach(upstream -> keys.add(new FactKey(FactKey.Kind.UPSTREAM, upstream.value())));
        step.members(member -> true).forEach(member -> keys.add(FactStore.memberKey(member.fact())));
        keys.sort(Comparator.comparing(Messenger::position));
        return keys;
    }

    /** Place of a fact in the table; members come last. */
    private static String position(FactKey key) {
        return switch (key.kind()) {
            case SUSPECT -> "1" + key.id();
            case UPSTREAM -> "2" + key.id();
            default -> "3" + key.id();
        };
    }

    static SyncState sync(Step step, DataCentreId dataCentre) {
        SyncState known = step.state.syncs.get(dataCentre);
        return known == null ? SyncState.AGREED : known;
    }
}
