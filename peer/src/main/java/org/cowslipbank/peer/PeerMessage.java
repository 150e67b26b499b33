package org.cowslipbank.peer;

import java.util.Objects;

import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.Facts;
import org.cowslipbank.model.fleet.FleetDigest;

/** A message between authenticated nodes. */
public sealed interface PeerMessage {
    /**
     * Asks a node whether it is alive.
     *
     * @param sequence number chosen by the sender, returned in the acknowledgement
     * @param digest what the sender knows
     * @param facts piggybacked facts
     */
    record Probe(long sequence, FleetDigest digest, Facts facts) implements PeerMessage {}

    /**
     * Answers a probe.
     *
     * @param sequence the probe's number
     * @param digest what the sender knows
     * @param facts piggybacked facts
     */
    record ProbeAck(long sequence, FleetDigest digest, Facts facts) implements PeerMessage {}

    /**
     * Asks a node to probe another one on the sender's behalf.
     *
     * @param sequence number chosen by the sender, returned in the result
     * @param subject the node to probe
     */
    record IndirectProbe(long sequence, VmId subject) implements PeerMessage {}

    /**
     * Result of a probe made on another node's behalf.
     *
     * @param sequence the number of the indirect probe
     * @param subject the node that was probed
     * @param reachable true if it answered
     */
    record IndirectResult(long sequence, VmId subject, boolean reachable) implements PeerMessage {}

    /**
     * Carries facts that must not wait for the next probe.
     *
     * @param digest what the sender knows
     * @param facts the facts
     */
    record FactsPush(FleetDigest digest, Facts facts) implements PeerMessage {}

    /**
     * A request of another part of the node.
     *
     * @param correlation number that matches the reply to the request on one connection
     * @param kind what is asked
     * @param body the encoded question
     */
    record Request(long correlation, RequestKind kind, byte[] body) implements PeerMessage {
        /** Checks that nothing is null. */
        public Request {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * The answer to a request.
     *
     * @param correlation the request's number
     * @param body the encoded answer
     */
    record Reply(long correlation, byte[] body) implements PeerMessage {
        /** Checks that nothing is null. */
        public Reply {
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * Says that a request failed at the peer.
     *
     * @param correlation the request's number
     * @param runState what the peer knows about the run
     * @param message what went wrong
     */
    record Failure(long correlation, RunState runState, String message) implements PeerMessage {}

    /** Keeps a connection alive and asks for {@link HeartbeatAck}. */
    record Heartbeat() implements PeerMessage {}

    /** Answers a heartbeat. */
    record HeartbeatAck() implements PeerMessage {}
}
