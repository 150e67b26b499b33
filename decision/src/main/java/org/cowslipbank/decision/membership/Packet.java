package org.cowslipbank.decision.membership;

import java.util.Optional;

import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.model.fleet.GossipPayload;

/**
 * A message of the protocol.
 *
 * @param kind kind of message
 * @param sequence number that an answer shares with its request; zero for {@link Kind#PUSH}
 * @param subject the node that an indirect probe is about
 * @param reachable result of an indirect probe; false in other messages
 * @param digest summary of the sender's state
 * @param facts piggybacked facts
 */
public record Packet(
        Kind kind, long sequence, Optional<VmId> subject, boolean reachable, FleetDigest digest, GossipPayload facts) {
    /** Kinds of message. */
    public enum Kind {
        /** Checks whether the receiver is alive. */
        PROBE,
        /** Answers a probe. */
        ACK,
        /** Asks the receiver to probe the subject. */
        INDIRECT_PROBE,
        /** Result of an indirect probe. */
        INDIRECT_RESULT,
        /** Carries facts that cannot wait for the next probe. */
        PUSH
    }

    static Packet probe(long sequence, FleetDigest digest, GossipPayload facts) {
        return new Packet(Kind.PROBE, sequence, Optional.empty(), false, digest, facts);
    }

    static Packet ack(long sequence, FleetDigest digest, GossipPayload facts) {
        return new Packet(Kind.ACK, sequence, Optional.empty(), false, digest, facts);
    }

    static Packet push(FleetDigest digest, GossipPayload facts) {
        return new Packet(Kind.PUSH, 0, Optional.empty(), false, digest, facts);
    }

    static Packet indirectProbe(long sequence, VmId subject) {
        return new Packet(
                Kind.INDIRECT_PROBE, sequence, Optional.of(subject), false, FleetDigest.NONE, GossipPayload.NONE);
    }

    static Packet indirectResult(long sequence, VmId subject, boolean reachable) {
        return new Packet(
                Kind.INDIRECT_RESULT, sequence, Optional.of(subject), reachable, FleetDigest.NONE, GossipPayload.NONE);
    }
}
