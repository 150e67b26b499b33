package org.cowslipbank.model;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Cuts a prompt into pieces of equal length and computes the chain of their block keys.
 *
 * <p>Pieces are cut by byte length because the engine's tokenizer is not available to a node. Only full pieces have a
 * key; the engine always computes the remainder of the prompt.
 */
public final class PromptChain {
    /** Default length of a piece in bytes, about 1,000 tokens of text. */
    public static final int DEFAULT_PIECE_BYTES = 4_000;

    private PromptChain() {}

    /**
     * Returns the identities of all full pieces of a prompt, first piece first.
     *
     * @param teamSecret the team's hashing key; it gives equal prompts of two teams different keys
     * @param team the team
     * @param model the model, weight version and adapter
     * @param prompt the prompt's bytes
     * @param pieceBytes length of a piece in bytes
     * @return the identities, one per full piece
     * @throws IllegalArgumentException if the piece length is not positive
     */
    public static List<BlockIdentity> identities(
            byte[] teamSecret, TeamId team, ModelRef model, byte[] prompt, int pieceBytes) {
        if (pieceBytes <= 0) {
            throw new IllegalArgumentException("pieceBytes must be positive, was " + pieceBytes);
        }
        MessageDigest digest = newDigest();
        byte[] chainHash = rootHash(digest, teamSecret, team, model);
        int pieces = prompt.length / pieceBytes;
        List<BlockIdentity> identities = new ArrayList<>(pieces);
        for (int piece = 0; piece < pieces; piece++) {
            digest.update(chainHash);
            digest.update(prompt, piece * pieceBytes, pieceBytes);
            chainHash = digest.digest();
            BlockKey key = new BlockKey(HexFormat.of().formatHex(chainHash));
            identities.add(new BlockIdentity(team, model, piece, key));
        }
        return List.copyOf(identities);
    }

    private static byte[] rootHash(MessageDigest digest, byte[] teamSecret, TeamId team, ModelRef model) {
        updateField(digest, teamSecret);
        updateField(digest, team.value().getBytes(StandardCharsets.UTF_8));
        updateField(digest, model.model().getBytes(StandardCharsets.UTF_8));
        updateField(digest, model.weightVersion().getBytes(StandardCharsets.UTF_8));
        updateField(digest, model.adapter().getBytes(StandardCharsets.UTF_8));
        return digest.digest();
    }

    // The length prefix keeps two different field lists from producing the same bytes.
    private static void updateField(MessageDigest digest, byte[] field) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).array());
        digest.update(field);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available although every Java platform must provide it", e);
        }
    }
}
