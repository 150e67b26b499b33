package org.cowslipbank.decision.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;

/**
 * Splits a stream of server-sent events at event boundaries, so that the stream can resume at another upstream after
 * the last event that the client has received. The bytes of an incomplete event are buffered up to a limit.
 */
public final class EventSplitter {
    /** Largest incomplete event that is buffered; events hold a few tokens. */
    public static final int MAX_INCOMPLETE_BYTES = 64 * 1024;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COMMENT = ':';
    private static final String NUMBER = "[0-9]{1,18}";
    private static final byte[] STATUS_LINE = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    /** Fields of events, and none, the name of comments. */
    private static final Set<String> EVENT_FIELDS = Set.of("data", "event", "id", "retry", "");

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] incompleteEvent = new byte[0];
    private String lastEventId;
    private boolean hasEvent;
    private boolean malformed;
    private long skippedIds;

    /**
     * Sets where the stream goes on, so that an event which the client already has is malformed.
     *
     * @param eventId identifier of the last event that the client has
     */
    public void resumeAfter(String eventId) {
        lastEventId = eventId;
    }

    /**
     * Adds bytes of the stream and returns what can be passed on.
     *
     * @param bytes the next bytes of the stream
     * @return the buffered and new bytes up to the end of the last complete event before any malformed one; may be empty
     */
    public byte[] append(byte[] bytes) {
        byte[] joined = Arrays.copyOf(incompleteEvent, incompleteEvent.length + bytes.length);
        System.arraycopy(bytes, 0, joined, incompleteEvent.length, bytes.length);
        hasEvent = false;
        int end = 0;
        int next = endOfEvent(joined, end);
        while (next > end && isWellFormed(joined, end, next)) {
            end = next;
            next = endOfEvent(joined, end);
        }
        malformed = malformed || next > end;
        incompleteEvent = Arrays.copyOfRange(joined, end, joined.length);
        return Arrays.copyOf(joined, end);
    }

    /**
     * Returns whether bytes arrived that are no event, such as the text of an error, or an event that does not follow the
     * ones before it.
     *
     * @return true if the stream must not go on with these bytes
     */
    public boolean isMalformed() {
        return malformed;
    }

    /**
     * Returns how many numbers the identifiers of the events have left out so far, after the first one that is known.
     *
     * @return the count of numbers, zero if the identifiers are consecutive or no numbers
     */
    public long skippedIds() {
        return skippedIds;
    }

    /**
     * Returns whether the last bytes completed an event. Comments, which keep a connection open, are no progress.
     *
     * @return false if only comments and blank lines were completed
     */
    public boolean hasCompletedEvent() {
        return hasEvent;
    }

    /**
     * Returns whether the incomplete event is longer than any sound one.
     *
     * @return true if the stream must be given up
     */
    public boolean isEventTooLong() {
        return incompleteEvent.length > MAX_INCOMPLETE_BYTES;
    }

    /** Discards the buffered bytes of an incomplete or malformed event, so that the stream can go on elsewhere. */
    public void discardIncompleteEvent() {
        incompleteEvent = new byte[0];
        malformed = false;
    }

    /**
     * Returns whether bytes of an incomplete event are buffered.
     *
     * @return true if the buffer is not empty
     */
    public boolean hasIncompleteEvent() {
        return incompleteEvent.length > 0;
    }

    /**
     * Returns the identifier of the last complete event that has one.
     *
     * @return the identifier, or empty before the first such event of a new stream
     */
    public Optional<String> lastEventId() {
        return Optional.ofNullable(lastEventId);
    }

    /** Returns the end of the first event, behind its blank line, or the start if it is not complete. */
    private static int endOfEvent(byte[] bytes, int from) {
        int lineStart = from;
        for (int index = from; index < bytes.length; index++) {
            if (bytes[index] != LINE_FEED) {
                continue;
            }
            if (lineEnd(bytes, lineStart, index) == lineStart) {
                return index + 1;
            }
            lineStart = index + 1;
        }
        return from;
    }

    /** Returns the end of a line without the carriage return before its line feed. */
    private static int lineEnd(byte[] bytes, int lineStart, int lineFeed) {
        return lineFeed > lineStart && bytes[lineFeed - 1] == CARRIAGE_RETURN ? lineFeed - 1 : lineFeed;
    }

    private boolean isWellFormed(byte[] bytes, int from, int to) {
        int lineStart = from;
        boolean behindStatusLine = false;
        String before = lastEventId;
        long skippedBefore = skippedIds;
        for (int index = from; index < to; index++) {
            if (bytes[index] != LINE_FEED) {
                continue;
            }
            int end = lineEnd(bytes, lineStart, index);
            // An upstream that broke off within an event may write another answer behind it, as its error.
            boolean answer = behindStatusLine && end > lineStart && !hasEventField(bytes, lineStart, end);
            if (answer || !acceptLine(bytes, lineStart, end)) {
                lastEventId = before;
                skippedIds = skippedBefore;
                return false;
            }
            behindStatusLine = behindStatusLine || contains(bytes, lineStart, end, STATUS_LINE);
            lineStart = index + 1;
        }
        return true;
    }

    private static boolean hasEventField(byte[] bytes, int from, int to) {
        int end = from;
        while (end < to && bytes[end] != COMMENT) {
            end++;
        }
        return EVENT_FIELDS.contains(new String(bytes, from, end - from, StandardCharsets.UTF_8));
    }

    private static boolean contains(byte[] bytes, int from, int to, byte[] wanted) {
        for (int index = from; index + wanted.length <= to; index++) {
            if (Arrays.equals(bytes, index, index + wanted.length, wanted, 0, wanted.length)) {
                return true;
            }
        }
        return false;
    }

    private boolean acceptLine(byte[] bytes, int from, int to) {
        if (from == to || bytes[from] == COMMENT) {
            return true;
        }
        hasEvent = true;
        if (!hasFieldName(bytes, from, to)) {
            return false;
        }
        return !isIdField(bytes, from, to)
                || acceptId(
                        new String(bytes, from + ID_FIELD.length, to - from - ID_FIELD.length, StandardCharsets.UTF_8)
                                .trim());
    }

    /** Returns whether a line begins with the name of a field; a status line or a sentence does not. */
    private static boolean hasFieldName(byte[] bytes, int from, int to) {
        for (int index = from; index < to && bytes[index] != COMMENT; index++) {
            boolean nameCharacter =
                    bytes[index] == '-' || bytes[index] == '_' || Character.isLetterOrDigit(bytes[index]);
            if (!nameCharacter) {
                return false;
            }
        }
        return true;
    }

    private boolean acceptId(String id) {
        boolean comparable = lastEventId != null && id.matches(NUMBER) && lastEventId.matches(NUMBER);
        long step = comparable ? Long.parseLong(id) - Long.parseLong(lastEventId) : 1;
        if (step <= 0) {
            return false;
        }
        skippedIds += step - 1;
        lastEventId = id;
        return true;
    }

    private static boolean isIdField(byte[] bytes, int from, int to) {
        return to - from > ID_FIELD.length
                && Arrays.equals(bytes, from, from + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
    }
}
