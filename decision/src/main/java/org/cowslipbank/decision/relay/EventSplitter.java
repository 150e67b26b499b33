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
    /** Identifier of the first event of a stream whose upstream numbers its events. */
    private static final String FIRST_ID = "1";

    private static final byte[] STATUS_LINE = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);
    /** Fields of events, and none, the name of comments. */
    private static final Set<String> EVENT_FIELDS = Set.of("data", "event", "id", "retry", "");

    private static final byte[] DATA_FIELD = "data:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] incompleteEvent = new byte[0];
    private String lastEventId;
    private boolean hasEvent;
    private boolean malformed;
    private long skippedIds;
    /** True if data was passed on since the last identifier. */
    private boolean unnamedData;
    /** True if the next event is the first one of an upstream that goes on behind the last event. */
    private boolean joining;
    /** True if the identifiers number the events of the stream from 1 on. */
    private boolean countsEvents;

    /**
     * Sets where the stream goes on, so that an event which the client already has is malformed.
     *
     * @param eventId identifier of the last event that the client has
     */
    public void resumeAfter(String eventId) {
        lastEventId = eventId;
        joining = true;
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

    /**
     * Discards the buffered bytes of an incomplete or malformed event, so that the stream can go on elsewhere. The first event
     * from there must follow the last one.
     */
    public void discardIncompleteEvent() {
        incompleteEvent = new byte[0];
        malformed = false;
        joining = lastEventId != null;
    }

    /**
     * Returns whether another upstream can be told where to go on: nothing names an event without an identifier, so that
     * it would be repeated.
     *
     * @return false if data without an identifier was passed on behind the last event that has one
     */
    public boolean canGoOnElsewhere() {
        return !unnamedData;
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
        boolean data = false;
        Optional<String> id = Optional.empty();
        for (int index = from; index < to; index++) {
            if (bytes[index] != LINE_FEED) {
                continue;
            }
            int end = lineEnd(bytes, lineStart, index);
            // An upstream that broke off within an event may write another answer behind it, as its error.
            boolean answer = behindStatusLine && end > lineStart && !hasEventField(bytes, lineStart, end);
            if (answer || !isField(bytes, lineStart, end)) {
                return false;
            }
            data = data || startsWith(bytes, lineStart, end, DATA_FIELD);
            Optional<String> named = idOf(bytes, lineStart, end);
            if (id.isPresent() && named.isPresent()) {
                // The end of one event and the begin of the next one are missing.
                return false;
            }
            id = id.or(() -> named);
            behindStatusLine = behindStatusLine || contains(bytes, lineStart, end, STATUS_LINE);
            lineStart = index + 1;
        }
        return accept(id, data);
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

    /** Returns whether a line is a field, a comment or the end of an event. */
    private boolean isField(byte[] bytes, int from, int to) {
        if (from == to || bytes[from] == COMMENT) {
            return true;
        }
        hasEvent = true;
        return hasFieldName(bytes, from, to);
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

    /** Takes an event over as the last one if it follows the one before. */
    private boolean accept(Optional<String> id, boolean data) {
        if (id.isEmpty() && joining && data) {
            // Nothing tells it from one that the client has.
            return false;
        }
        if (id.isEmpty()) {
            unnamedData = unnamedData || data;
            return true;
        }
        if (lastEventId != null && !follows(id.get())) {
            return false;
        }
        countsEvents = lastEventId == null ? id.get().equals(FIRST_ID) : countsEvents && stepTo(id.get()) == 1;
        skippedIds += Math.max(0, stepTo(id.get()) - 1);
        lastEventId = id.get();
        unnamedData = false;
        joining = false;
        return true;
    }

    private boolean follows(String id) {
        if (!isNumber(id) || !isNumber(lastEventId)) {
            return !joining || !isNumber(id) && !isNumber(lastEventId) && !id.equals(lastEventId);
        }
        long step = stepTo(id);
        // Upstreams that number their events leave none out; others may name each by the tokens up to it.
        return step > 0 && !(joining && countsEvents && step > 1);
    }

    /** Returns the distance from the last identifier, one if they are no numbers. */
    private long stepTo(String id) {
        boolean comparable = lastEventId != null && isNumber(id) && isNumber(lastEventId);
        return comparable ? Long.parseLong(id) - Long.parseLong(lastEventId) : 1;
    }

    private static boolean isNumber(String id) {
        return id.matches(NUMBER);
    }

    private static boolean startsWith(byte[] bytes, int from, int to, byte[] field) {
        return to - from >= field.length && Arrays.equals(bytes, from, from + field.length, field, 0, field.length);
    }

    /** Returns the identifier that a line states; an empty one is none. */
    private static Optional<String> idOf(byte[] bytes, int from, int to) {
        if (!startsWith(bytes, from, to, ID_FIELD)) {
            return Optional.empty();
        }
        String id = new String(bytes, from + ID_FIELD.length, to - from - ID_FIELD.length, StandardCharsets.UTF_8);
        return Optional.of(id.trim()).filter(text -> !text.isEmpty());
    }
}
