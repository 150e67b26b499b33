package org.cowslipbank.decision.claims;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;

/** Keys and bytes of the values in the key-value service. */
public final class ClaimCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectWriter WRITER = MAPPER.writer();
    private static final ObjectReader BATCH = MAPPER.readerFor(ClaimBatch.class);
    private static final ObjectReader HEAD = MAPPER.readerFor(PartitionHead.class);
    private static final ObjectReader SEGMENT = MAPPER.readerFor(SegmentValue.class);

    private ClaimCodec() {}

    /**
     * Returns the key of a partition's head.
     *
     * @param partition the partition
     * @return the key
     */
    public static String headKey(int partition) {
        return "claims/" + partition + "/head";
    }

    /**
     * Returns the prefix of the keys of a partition's log values.
     *
     * @param partition the partition
     * @return the prefix
     */
    public static String logPrefix(int partition) {
        return "claims/" + partition + "/log/";
    }

    /**
     * Returns the key of a log value. Keys sort in the order of their sequences.
     *
     * @param partition the partition
     * @param sequence the sequence
     * @return the key
     */
    public static String logKey(int partition, long sequence) {
        return logPrefix(partition) + String.format("%015d", sequence);
    }

    /**
     * Returns the sequence in a log value's key.
     *
     * @param key the key
     * @return the sequence
     */
    public static long sequenceOf(String key) {
        return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    }

    /**
     * Writes a log value, a head or a snapshot.
     *
     * @param value the value
     * @return its bytes
     */
    public static byte[] write(Record value) {
        try {
            return WRITER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("a record of plain data can always be written", e);
        }
    }

    /**
     * Reads a log value.
     *
     * @param bytes its bytes
     * @return the value
     * @throws UncheckedIOException if the bytes are not a log value
     */
    public static ClaimBatch readBatch(byte[] bytes) {
        return read(BATCH, bytes);
    }

    /**
     * Reads a head.
     *
     * @param bytes its bytes
     * @return the value
     * @throws UncheckedIOException if the bytes are not a head
     */
    public static PartitionHead readHead(byte[] bytes) {
        return read(HEAD, bytes);
    }

    /**
     * Reads a snapshot.
     *
     * @param bytes its bytes
     * @return the value
     * @throws UncheckedIOException if the bytes are not a snapshot
     */
    public static SegmentValue readSegment(byte[] bytes) {
        return read(SEGMENT, bytes);
    }

    private static <T> T read(ObjectReader reader, byte[] bytes) {
        try {
            return reader.readValue(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
