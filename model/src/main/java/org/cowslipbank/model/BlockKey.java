package org.cowslipbank.model;

/**
 * Key of one cache block: the chained SHA-256 hash over team, model, weight version, adapter and all prompt bytes up to
 * the end of the block.
 *
 * @param hex the digest in lower-case hexadecimal
 */
public record BlockKey(String hex) implements Comparable<BlockKey> {
    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if the text is blank
     */
    public BlockKey {
        Identifiers.requireText("BlockKey", hex);
    }

    @Override
    public int compareTo(BlockKey other) {
        return hex.compareTo(other.hex);
    }

    @Override
    public String toString() {
        return hex;
    }
}
