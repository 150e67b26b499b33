package org.cowslipbank.standins;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.cowslipbank.model.BlockIdentity;

/** Cache data of the stand-ins. It begins with the key of the content it was computed from. */
final class BlockData {
    private BlockData() {}

    static byte[] of(BlockIdentity content, int lengthBytes) {
        byte[] key = content.key().hex().getBytes(StandardCharsets.US_ASCII);
        byte[] data = Arrays.copyOf(key, Math.max(lengthBytes, key.length));
        Arrays.fill(data, key.length, data.length, key[0]);
        return data;
    }

    static boolean isOf(byte[] data, BlockIdentity content) {
        byte[] key = content.key().hex().getBytes(StandardCharsets.US_ASCII);
        return data.length >= key.length && Arrays.equals(data, 0, key.length, key, 0, key.length);
    }
}
