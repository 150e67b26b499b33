package org.cowslipbank.standins;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.cowslipbank.model.BlockIdentity;

/** Synthetic block data. It starts with the key of the content that it was computed from, so that misuse is detected. */
final class BlockData {
    private BlockData() {}

    static byte[] create(BlockIdentity content, int lengthBytes) {
        byte[] key = content.key().hex().getBytes(StandardCharsets.US_ASCII);
        byte[] data = Arrays.copyOf(key, Math.max(lengthBytes, key.length));
        Arrays.fill(data, key.length, data.length, key[0]);
        return data;
    }

    static boolean isComputedFrom(byte[] data, BlockIdentity content) {
        byte[] key = content.key().hex().getBytes(StandardCharsets.US_ASCII);
        return data.length >= key.length && Arrays.equals(data, 0, key.length, key, 0, key.length);
    }
}
