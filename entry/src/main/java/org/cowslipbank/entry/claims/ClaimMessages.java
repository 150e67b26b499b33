package org.cowslipbank.entry.claims;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.cowslipbank.decision.claims.ClaimKey;
import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.PartitionRequest;
import org.cowslipbank.decision.claims.StoredAnswer;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.TeamId;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Encodes and decodes requests that nodes forward to the owner of a claims partition, and their outcomes. */
public final class ClaimMessages {
    private static final ObjectMapper MAPPER = new MessagePackMapper();

    private ClaimMessages() {}

    /**
     * Encodes a request as MessagePack.
     *
     * @param request the claim, finish or release
     * @return the encoded message
     */
    public static byte[] encode(PartitionRequest request) {
        ClaimKey key = request.key();
        Message message =
                new Message(Kind.CLAIM, key.team().value(), key.window(), key.own(), request.token(), null, null);
        if (request instanceof PartitionRequest.Claim claim) {
            return write(message.withContent(Kind.CLAIM, claim.fingerprint(), null));
        }
        if (request instanceof PartitionRequest.Finish finish) {
            return write(message.withContent(Kind.FINISH, null, finish.answer()));
        }
        return write(message.withContent(Kind.RELEASE, null, null));
    }

    /**
     * Decodes a request from MessagePack.
     *
     * @param bytes the encoded message
     * @return the request
     * @throws PeerException if the bytes are not a valid request
     */
    public static PartitionRequest decodeRequest(byte[] bytes) throws PeerException {
        Message message = read(bytes, Message.class);
        ClaimKey key = new ClaimKey(new TeamId(message.team()), message.window(), message.own());
        return switch (message.kind()) {
            case CLAIM -> new PartitionRequest.Claim(key, message.fingerprint(), message.token());
            case FINISH -> new PartitionRequest.Finish(key, message.token(), message.answer());
            case RELEASE -> new PartitionRequest.Release(key, message.token());
        };
    }

    /**
     * Encodes an outcome as MessagePack.
     *
     * @param outcome the owner's outcome
     * @return the encoded message
     */
    public static byte[] encode(ClaimOutcome outcome) {
        return write(outcome);
    }

    /**
     * Decodes an outcome from MessagePack.
     *
     * @param bytes the encoded message
     * @return the outcome
     * @throws PeerException if the bytes are not a valid outcome
     */
    public static ClaimOutcome decodeOutcome(byte[] bytes) throws PeerException {
        return read(bytes, ClaimOutcome.class);
    }

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode " + value.getClass().getSimpleName(), e);
        }
    }

    private static <T> T read(byte[] bytes, Class<T> type) throws PeerException {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new PeerException(ProcessingStep.CLAIM, "", RunState.UNKNOWN, "unreadable message of a peer", e);
        }
    }

    private enum Kind {
        CLAIM,
        FINISH,
        RELEASE
    }

    private record Message(
            Kind kind, String team, long window, String own, String token, String fingerprint, StoredAnswer answer) {
        Message withContent(Kind newKind, String newFingerprint, StoredAnswer newAnswer) {
            return new Message(newKind, team, window, own, token, newFingerprint, newAnswer);
        }
    }
}
