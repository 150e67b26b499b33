package org.cowslipbank.peer;

import java.io.IOException;
import java.security.SecureRandom;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Mutual challenge-response with HMAC-SHA256. The client sends a nonce, the server answers with its own nonce and a
 * signature, the client answers with its signature. Both signatures cover both nonces, both identities and the
 * signer's role, so a signature cannot be replayed, reflected or used on another connection.
 */
final class Handshake {
    /** Largest frame before authentication, in bytes. */
    static final int MAX_FRAME_BYTES = 1_024;

    private static final int PROTOCOL_VERSION = 1;
    private static final int NONCE_BYTES = 16;
    private static final int SIGNATURE_BYTES = 32;
    private static final String CLIENT_ROLE = "client";
    private static final String SERVER_ROLE = "server";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final PeerSecret secret;
    private final PeerIdentity self;
    private final byte[] ownNonce = new byte[NONCE_BYTES];
    private byte[] peerNonce = new byte[0];
    private PeerIdentity peer;

    Handshake(PeerSecret secret, PeerIdentity self) {
        this.secret = secret;
        this.self = self;
        RANDOM.nextBytes(ownNonce);
    }

    /**
     * Returns the identity that the peer claims: null before its first frame, trustworthy only once its signature has
     * been verified.
     */
    PeerIdentity peer() {
        return peer;
    }

    /** Creates the first frame, sent by the client. */
    byte[] createHello() throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(PROTOCOL_VERSION);
            writeBytes(packer, ownNonce);
            writeIdentity(packer, self);
            return packer.toByteArray();
        }
    }

    /** Creates the second frame, sent by the server: its nonce and signature. */
    byte[] answerHello(byte[] hello) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(hello)) {
            int version = in.unpackInt();
            if (version != PROTOCOL_VERSION) {
                throw new IOException("peer uses handshake version " + version + ", expected " + PROTOCOL_VERSION);
            }
            peerNonce = readBytes(in, NONCE_BYTES);
            peer = readIdentity(in);
        } catch (MessagePackException e) {
            throw new IOException("cannot decode handshake hello", e);
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writeBytes(packer, ownNonce);
            writeIdentity(packer, self);
            writeBytes(packer, secret.sign(encodeTranscript(SERVER_ROLE, peerNonce, ownNonce, peer, self)));
            return packer.toByteArray();
        }
    }

    /** Verifies the server's signature and creates the third frame, the client's signature. */
    byte[] answerChallenge(byte[] challenge) throws IOException {
        byte[] signature;
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(challenge)) {
            peerNonce = readBytes(in, NONCE_BYTES);
            peer = readIdentity(in);
            signature = readBytes(in, SIGNATURE_BYTES);
        } catch (MessagePackException e) {
            throw new IOException("cannot decode handshake challenge", e);
        }
        requireValidSignature(encodeTranscript(SERVER_ROLE, ownNonce, peerNonce, self, peer), signature);
        return secret.sign(encodeTranscript(CLIENT_ROLE, ownNonce, peerNonce, self, peer));
    }

    /** Verifies the client's signature, the third frame, on the server. */
    void verifyProof(byte[] proof) throws IOException {
        requireValidSignature(encodeTranscript(CLIENT_ROLE, peerNonce, ownNonce, peer, self), proof);
    }

    private void requireValidSignature(byte[] data, byte[] signature) throws IOException {
        if (!secret.verify(data, signature)) {
            throw new IOException("invalid handshake signature: peer does not have the shared secret");
        }
    }

    private static byte[] encodeTranscript(
            String role, byte[] clientNonce, byte[] serverNonce, PeerIdentity client, PeerIdentity server)
            throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(PROTOCOL_VERSION).packString(role);
            writeBytes(packer, clientNonce);
            writeBytes(packer, serverNonce);
            writeIdentity(packer, client);
            writeIdentity(packer, server);
            return packer.toByteArray();
        }
    }

    private static void writeIdentity(MessagePacker packer, PeerIdentity identity) throws IOException {
        packer.packString(identity.vm().value());
        packer.packString(identity.dataCentre().value());
        packer.packString(identity.address()).packInt(identity.callerPort());
    }

    private static PeerIdentity readIdentity(MessageUnpacker in) throws IOException {
        try {
            return new PeerIdentity(
                    new VmId(in.unpackString()),
                    new DataCentreId(in.unpackString()),
                    in.unpackString(),
                    in.unpackInt());
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid peer identity in handshake", e);
        }
    }

    private static void writeBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static byte[] readBytes(MessageUnpacker in, int expectedLength) throws IOException {
        int length = in.unpackBinaryHeader();
        if (length != expectedLength) {
            throw new IOException("expected a handshake field of " + expectedLength + " bytes, found " + length);
        }
        return in.readPayload(length);
    }
}
