package org.cowslipbank.standins;

import java.util.zip.CRC32C;

/** Checksums of block data. */
final class Checksums {
    private Checksums() {}

    static long crc32c(byte[] data) {
        CRC32C checksum = new CRC32C();
        checksum.update(data);
        return checksum.getValue();
    }
}
