package org.cowslipbank.entry.fleet;

import java.util.Optional;

import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.decision.membership.Packet;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.peer.PeerAddress;
import org.cowslipbank.peer.PeerIdentity;
import org.cowslipbank.peer.PeerMessage;

/** Converts between the packets of the membership protocol and the messages of the peer transport. */
public final class FleetMessages {
    private FleetMessages() {}

    /**
     * Converts a packet for sending.
     *
     * @param packet the packet
     * @return the message
     */
    public static PeerMessage toMessage(Packet packet) {
        return switch (packet.kind()) {
            case PROBE -> new PeerMessage.Probe(packet.sequence(), packet.digest(), packet.facts());
            case ACK -> new PeerMessage.ProbeAck(packet.sequence(), packet.digest(), packet.facts());
            case INDIRECT_PROBE -> new PeerMessage.IndirectProbe(
                    packet.sequence(), packet.subject().orElseThrow());
            case INDIRECT_RESULT -> new PeerMessage.IndirectResult(
                    packet.sequence(), packet.subject().orElseThrow(), packet.reachable());
            case PUSH -> new PeerMessage.GossipPush(packet.digest(), packet.facts());
        };
    }

    /**
     * Converts a received message.
     *
     * @param message the message
     * @return the packet, empty if the message does not belong to the membership protocol
     */
    public static Optional<Packet> toPacket(PeerMessage message) {
        if (message instanceof PeerMessage.Probe probe) {
            return directPacket(Packet.Kind.PROBE, probe.sequence(), probe.digest(), probe.facts());
        }
        if (message instanceof PeerMessage.ProbeAck ack) {
            return directPacket(Packet.Kind.ACK, ack.sequence(), ack.digest(), ack.facts());
        }
        if (message instanceof PeerMessage.GossipPush push) {
            return directPacket(Packet.Kind.PUSH, 0, push.digest(), push.facts());
        }
        if (message instanceof PeerMessage.IndirectProbe probe) {
            return indirectPacket(Packet.Kind.INDIRECT_PROBE, probe.sequence(), probe.subject(), false);
        }
        if (message instanceof PeerMessage.IndirectResult result) {
            return indirectPacket(Packet.Kind.INDIRECT_RESULT, result.sequence(), result.subject(), result.reachable());
        }
        return Optional.empty();
    }

    static PeerAddress peerAddress(NodeAddress node) {
        return new PeerAddress(node.vm(), node.address());
    }

    static NodeAddress nodeAddress(PeerIdentity identity) {
        return new NodeAddress(identity.vm(), identity.dataCentre(), identity.address(), identity.callerPort());
    }

    private static Optional<Packet> directPacket(
            Packet.Kind kind, long sequence, FleetDigest digest, GossipPayload facts) {
        return Optional.of(new Packet(kind, sequence, Optional.empty(), false, digest, facts));
    }

    private static Optional<Packet> indirectPacket(Packet.Kind kind, long sequence, VmId subject, boolean reachable) {
        return Optional.of(
                new Packet(kind, sequence, Optional.of(subject), reachable, FleetDigest.NONE, GossipPayload.NONE));
    }
}
