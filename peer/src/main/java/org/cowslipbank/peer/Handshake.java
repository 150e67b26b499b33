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
 * signer's role, so a signature cannot be replayed, reflected or moved to another connection.
 */
final class Handshake {
    /** Largest frame before authentication, in bytes. */
    static final int MAX_FRAME_BYTES = 1_024;

    private static final int VERSION = 1;
    private static final int NONCE_BYTES = 16;
    private static final int SIGNATURE_BYTES = 32;
    private static final String CLIENT = "client";
    private static final String SERVER = "server";
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

    /** Returns the peer's identity, which is proved once the last step has been verified. */
    PeerIdentity peer() {
        return peer;
    }

    /** First frame, by the client. */
    byte[] hello() throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION);
            writeBytes(packer, ownNonce);
            writeIdentity(packer, self);
            return packer.toByteArray();
        }
    }

    /** Second frame, by the server, in answer to the hello. */
    byte[] challenge(byte[] hello) throws IOException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(hello)) {
            int version = in.unpackInt();
            if (version != VERSION) {
                throw new IOException("peer speaks version " + version + ", expected " + VERSION);
            }
            peerNonce = readBytes(in, NONCE_BYTES);
            peer = readIdentity(in);
        } catch (MessagePackException e) {
            throw new IOException("malformed hello", e);
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            writeBytes(packer, ownNonce);
            writeIdentity(packer, self);
            writeBytes(packer, secret.sign(transcript(SERVER, peerNonce, ownNonce, peer, self)));
            return packer.toByteArray();
        }
    }

    /** Third frame, by the client: verifies the server and proves itself. */
    byte[] proof(byte[] challenge) throws IOException {
        byte[] signature;
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(challenge)) {
            peerNonce = readBytes(in, NONCE_BYTES);
            peer = readIdentity(in);
            signature = readBytes(in, SIGNATURE_BYTES);
        } catch (MessagePackException e) {
            throw new IOException("malformed challenge", e);
        }
        requireValid(transcript(SERVER, ownNonce, peerNonce, self, peer), signature);
        return secret.sign(transcript(CLIENT, ownNonce, peerNonce, self, peer));
    }

    /** Verifies the third frame at the server. */
    void verifyProof(byte[] proof) throws IOException {
        requireValid(transcript(CLIENT, peerNonce, ownNonce, peer, self), proof);
    }

    private void requireValid(byte[] data, byte[] signature) throws IOException {
        if (!secret.verify(data, signature)) {
            throw new IOException("peer does not hold the secret");
        }
    }

    private static byte[] transcript(
            String role, byte[] clientNonce, byte[] serverNonce, PeerIdentity client, PeerIdentity server)
            throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(VERSION).packString(role);
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
            throw new IOException("malformed identity", e);
        }
    }

    private static void writeBytes(MessagePacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static byte[] readBytes(MessageUnpacker in, int expectedLength) throws IOException {
        int length = in.unpackBinaryHeader();
        if (length != expectedLength) {
            throw new IOException("expected " + expectedLength + " bytes, found " + length);
        }
        return in.readPayload(length);
    }
}
