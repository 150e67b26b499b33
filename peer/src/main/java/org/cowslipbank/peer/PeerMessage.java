package org.cowslipbank.peer;

import java.util.Objects;

import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.FleetDigest;
import org.cowslipbank.model.fleet.GossipPayload;

/** A message between authenticated nodes. */
public sealed interface PeerMessage {
    /**
     * Asks a node whether it is alive.
     *
     * @param sequence number chosen by the sender, returned in the acknowledgement
     * @param digest summary of the sender's fleet state, to detect differences
     * @param facts gossiped facts sent along
     */
    record Probe(long sequence, FleetDigest digest, GossipPayload facts) implements PeerMessage {}

    /**
     * Answers a probe.
     *
     * @param sequence the probe's number
     * @param digest summary of the sender's fleet state, to detect differences
     * @param facts gossiped facts sent along
     */
    record ProbeAck(long sequence, FleetDigest digest, GossipPayload facts) implements PeerMessage {}

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
     * @param reachable true if the probed node answered
     */
    record IndirectResult(long sequence, VmId subject, boolean reachable) implements PeerMessage {}

    /**
     * Gossips facts that must not wait for the next probe.
     *
     * @param digest summary of the sender's fleet state, to detect differences
     * @param facts the facts to spread
     */
    record GossipPush(FleetDigest digest, GossipPayload facts) implements PeerMessage {}

    /**
     * A request whose kind and body are defined by another component of the node.
     *
     * @param correlationId number that matches a reply to its request, unique within the connection
     * @param kind the kind of request
     * @param body the encoded request
     */
    record Request(long correlationId, RequestKind kind, byte[] body) implements PeerMessage {
        /** Checks that nothing is null. */
        public Request {
            Objects.requireNonNull(kind, "kind");
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * The reply to a request.
     *
     * @param correlationId the request's number
     * @param body the encoded reply
     */
    record Reply(long correlationId, byte[] body) implements PeerMessage {
        /** Checks that nothing is null. */
        public Reply {
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * Reports that a request failed on the peer.
     *
     * @param correlationId the request's number
     * @param runState whether the request ran, as far as the peer knows
     * @param message what went wrong
     */
    record Failure(long correlationId, RunState runState, String message) implements PeerMessage {}

    /** Keeps a connection alive; the peer answers with {@link HeartbeatAck}. */
    record Heartbeat() implements PeerMessage {}

    /** Answers a heartbeat. */
    record HeartbeatAck() implements PeerMessage {}
}
