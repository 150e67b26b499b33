package org.cowslipbank.decision.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into whole events, so that a stream can go on at another upstream behind the
 * last event that the client has. Bytes of an event that has not ended are kept back.
 */
public final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] kept = new byte[0];
    private String lastEventId;

    /**
     * Takes bytes of the stream.
     *
     * @param bytes the bytes
     * @return the bytes that end whole events; may be empty
     */
    public byte[] take(byte[] bytes) {
        byte[] joined = Arrays.copyOf(kept, kept.length + bytes.length);
        System.arraycopy(bytes, 0, joined, kept.length, bytes.length);
        int end = endOfEvents(joined);
        noteIds(joined, end);
        kept = Arrays.copyOfRange(joined, end, joined.length);
        return Arrays.copyOf(joined, end);
    }

    /** Forgets the bytes of an event that did not end. */
    public void discardRest() {
        kept = new byte[0];
    }

    /**
     * Tells whether bytes of an event that has not ended are kept back.
     *
     * @return true if there are some
     */
    public boolean hasRest() {
        return kept.length > 0;
    }

    /**
     * Returns the identifier of the last whole event.
     *
     * @return the identifier, or empty before the first event with one
     */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    private static int endOfEvents(byte[] bytes) {
        int end = 0;
        int lineStart = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (bytes[index] != LINE_FEED) {
                continue;
            }
            boolean empty = index == lineStart || index == lineStart + 1 && bytes[lineStart] == CARRIAGE_RETURN;
            if (empty) {
                end = index + 1;
            }
            lineStart = index + 1;
        }
        return end;
    }

    private void noteIds(byte[] bytes, int end) {
        int lineStart = 0;
        for (int index = 0; index < end; index++) {
            if (bytes[index] != LINE_FEED) {
                continue;
            }
            if (startsWithId(bytes, lineStart, index)) {
                int from = lineStart + ID_FIELD.length;
                lastEventId = new String(bytes, from, index - from, StandardCharsets.UTF_8).trim();
            }
            lineStart = index + 1;
        }
    }

    private static boolean startsWithId(byte[] bytes, int from, int to) {
        return to - from > ID_FIELD.length
                && Arrays.equals(bytes, from, from + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }
}
