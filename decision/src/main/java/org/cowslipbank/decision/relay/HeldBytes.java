package org.cowslipbank.decision.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Counts the bytes that a node holds for its connections against a budget, and decides which client's connection is closed
 * when they exceed it. Counted are bodies (requests, and answers that are buffered until they are complete) and what clients
 * have not read of their answers.
 *
 * @param <C> a client's connection
 */
public final class HeldBytes<C> {
    /** Time without progress after which a connection may be closed; upstreams cut off what remains unread for as long. */
    public static final long STALLED_MILLIS = 2_000;

    /** Longest body that is not counted for its upstream; the upstream's slots bound such requests. */
    public static final long SMALL_BODY_BYTES = 64 * 1024;

    private final long budgetBytes;
    private final Map<C, Unread> readers = new HashMap<>();
    private final Map<String, Long> sentByUpstream = new HashMap<>();
    private long bytes;

    /**
     * What a client has not read.
     *
     * @param heldBytes memory that is held for it, in bytes
     * @param unreadBytes bytes that have not been passed to the network
     * @param progressMillis when the client was last seen to read, in milliseconds
     */
    public record Unread(long heldBytes, long unreadBytes, long progressMillis) {}

    /**
     * Creates an empty count.
     *
     * @param budgetBytes most bytes that may be held
     * @throws IllegalArgumentException if the budget is not positive
     */
    public HeldBytes(long budgetBytes) {
        if (budgetBytes <= 0) {
            throw new IllegalArgumentException("budget of " + budgetBytes + " bytes");
        }
        this.budgetBytes = budgetBytes;
    }

    /**
     * Returns the budget.
     *
     * @return the budget in bytes
     */
    public long budgetBytes() {
        return budgetBytes;
    }

    /**
     * Returns how much is held.
     *
     * @return the sum in bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Counts a piece of a body.
     *
     * @param added its length in bytes
     */
    public void add(long added) {
        bytes += added;
    }

    /**
     * Counts a body, or a piece of it, as released.
     *
     * @param removed its length in bytes
     */
    public void remove(long removed) {
        bytes -= removed;
    }

    /**
     * Returns whether further bytes may be held.
     *
     * @param more their number
     * @return false if the sum would exceed the budget
     */
    public boolean fits(long more) {
        return bytes + more <= budgetBytes;
    }

    /**
     * Records what a client has not read now. To be called before and after more is written to it, so that a decrease
     * since the last call is progress of the client.
     *
     * @param connection the client's connection
     * @param heldBytes memory that is held for it, in bytes
     * @param unreadBytes bytes that have not been passed to the network; zero together with the memory
     * @param nowMillis the time in milliseconds
     */
    public void onUnread(C connection, long heldBytes, long unreadBytes, long nowMillis) {
        if (heldBytes == 0) {
            onClosed(connection);
            return;
        }
        Unread before = readers.get(connection);
        boolean progress = before == null || unreadBytes < before.unreadBytes();
        readers.put(connection, new Unread(heldBytes, unreadBytes, progress ? nowMillis : before.progressMillis()));
        bytes += heldBytes - (before == null ? 0 : before.heldBytes());
    }

    /**
     * Forgets what a client has not read. Has no effect on a connection without unread bytes.
     *
     * @param connection the connection, which is closed or has nothing left to write
     */
    public void onClosed(C connection) {
        Unread before = readers.remove(connection);
        if (before != null) {
            bytes -= before.heldBytes();
        }
    }

    /**
     * Returns what a client has not read.
     *
     * @param connection the client's connection
     * @return what was recorded last, or empty if it has read everything
     */
    public Optional<Unread> unread(C connection) {
        return Optional.ofNullable(readers.get(connection));
    }

    /**
     * Returns the connections whose clients have not read everything.
     *
     * @return a copy in no order
     */
    public List<C> readers() {
        return List.copyOf(readers.keySet());
    }

    /**
     * Returns the connection that must be closed before further bytes fit into the budget.
     *
     * @param more the number of further bytes, zero to get back within the budget
     * @param nowMillis the time in milliseconds
     * @return the one with the most unread bytes of those without progress for {@link #STALLED_MILLIS}; empty if the bytes
     *     fit or there is none
     */
    public Optional<C> connectionToClose(long more, long nowMillis) {
        if (fits(more)) {
            return Optional.empty();
        }
        return readers.entrySet().stream()
                .filter(reader -> nowMillis - reader.getValue().progressMillis() >= STALLED_MILLIS)
                .max(Comparator.comparingLong(reader -> reader.getValue().unreadBytes()))
                .map(Map.Entry::getKey);
    }

    /**
     * Counts a request body for the upstream that it is sent to. Short bodies are not counted.
     *
     * @param upstream the upstream
     * @param bodyBytes length of the body in bytes
     */
    public void onSent(String upstream, long bodyBytes) {
        if (bodyBytes > SMALL_BODY_BYTES) {
            sentByUpstream.merge(upstream, bodyBytes, Long::sum);
        }
    }

    /**
     * Counts a request body as taken by its upstream, or as ended with its connection.
     *
     * @param upstream the upstream
     * @param bodyBytes length of the body in bytes, as it was sent
     */
    public void onTaken(String upstream, long bodyBytes) {
        if (bodyBytes > SMALL_BODY_BYTES) {
            sentByUpstream.computeIfPresent(upstream, (key, sent) -> sent > bodyBytes ? sent - bodyBytes : null);
        }
    }

    /**
     * Returns whether a request body may be sent to an upstream besides those that it has not taken yet: half of the budget
     * at most, but always one body.
     *
     * @param upstream the upstream
     * @param bodyBytes length of the body in bytes
     * @return false if the upstream has no capacity for it
     */
    public boolean fitsAt(String upstream, long bodyBytes) {
        if (bodyBytes <= SMALL_BODY_BYTES) {
            return true;
        }
        long sent = sentByUpstream.getOrDefault(upstream, 0L);
        return sent == 0 || sent + bodyBytes <= budgetBytes / 2;
    }
}
