package org.cowslipbank.decision.claims;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;

/** Keys and JSON encoding of the claim values in the key-value service. */
public final class ClaimCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final ObjectWriter WRITER = MAPPER.writer();
    private static final ObjectReader BATCH_READER = MAPPER.readerFor(ClaimBatch.class);
    private static final ObjectReader HEAD_READER = MAPPER.readerFor(PartitionHead.class);
    private static final ObjectReader SEGMENT_READER = MAPPER.readerFor(SegmentValue.class);

    private ClaimCodec() {}

    /**
     * Returns the key of a partition's head.
     *
     * @param partition number of the partition, from zero
     * @return the key in the key-value service
     */
    public static String headKey(int partition) {
        return "claims/" + partition + "/head";
    }

    /**
     * Returns the prefix of the keys of a partition's log values.
     *
     * @param partition number of the partition, from zero
     * @return the prefix, which ends with a slash
     */
    public static String logPrefix(int partition) {
        return "claims/" + partition + "/log/";
    }

    /**
     * Returns the key of a log value. Keys sort in the order of their sequences.
     *
     * @param partition number of the partition, from zero
     * @param sequence sequence of the log value
     * @return the key in the key-value service
     */
    public static String logKey(int partition, long sequence) {
        return logPrefix(partition) + String.format("%015d", sequence);
    }

    /**
     * Extracts the sequence from a log value's key.
     *
     * @param key a key that {@link #logKey(int, long)} has made
     * @return the sequence
     * @throws NumberFormatException if the key does not end with a number
     */
    public static long sequenceOf(String key) {
        return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    }

    /**
     * Encodes a log value, a head or a snapshot segment.
     *
     * @param value a {@link ClaimBatch}, {@link PartitionHead} or {@link SegmentValue}
     * @return the JSON bytes
     */
    public static byte[] write(Record value) {
        try {
            return WRITER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(
                    "cannot encode claim value of type " + value.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a log value.
     *
     * @param bytes the JSON bytes
     * @return the log value
     * @throws UncheckedIOException if the bytes are not a valid log value
     */
    public static ClaimBatch readBatch(byte[] bytes) {
        return read(BATCH_READER, bytes);
    }

    /**
     * Decodes a head.
     *
     * @param bytes the JSON bytes
     * @return the head
     * @throws UncheckedIOException if the bytes are not a valid head
     */
    public static PartitionHead readHead(byte[] bytes) {
        return read(HEAD_READER, bytes);
    }

    /**
     * Decodes a snapshot segment.
     *
     * @param bytes the JSON bytes
     * @return the segment
     * @throws UncheckedIOException if the bytes are not a valid segment
     */
    public static SegmentValue readSegment(byte[] bytes) {
        return read(SEGMENT_READER, bytes);
    }

    private static <T> T read(ObjectReader reader, byte[] bytes) {
        try {
            return reader.readValue(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot decode claim value of " + bytes.length + " bytes", e);
        }
    }
}
