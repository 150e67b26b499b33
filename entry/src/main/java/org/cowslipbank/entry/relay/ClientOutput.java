package org.cowslipbank.entry.relay;

import java.util.OptionalLong;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import org.cowslipbank.decision.relay.HeldBytes;

/**
 * Writes to a client's connection, and counts what the client has not read. A client that pauses gets some of its stream
 * buffered, so that the upstream need not wait; it is limited to less while the node's budget is exceeded. Used on the
 * traffic thread.
 */
final class ClientOutput {
    /** Bytes that are buffered for a connection in any case. */
    static final int WRITE_BUFFER_BYTES = 64 * 1024;

    /** Bytes that are buffered beyond that for a client that reads slowly. */
    static final int SLOW_CLIENT_BYTES = 256 * 1024;

    /** Bytes that a client has to read before its stream goes on. Upstreams cut off what stays unread for 2 s, so they are few. */
    private static final int RESUME_BYTES = 32 * 1024;

    /** Marks of a client's channel; it is writable until all of these bytes are unread. */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(
            WRITE_BUFFER_BYTES + SLOW_CLIENT_BYTES - RESUME_BYTES, WRITE_BUFFER_BYTES + SLOW_CLIENT_BYTES);

    private final ClientConnection connection;
    private final ChannelHandlerContext channel;
    private final HeldMemory memory;
    private final Clocks clocks;
    private boolean counted;
    private boolean limited;

    /**
     * Creates the output of a connection.
     *
     * @param connection the connection
     * @param channel its channel
     * @param memory the node's budget
     * @param clocks the clocks
     */
    ClientOutput(ClientConnection connection, ChannelHandlerContext channel, HeldMemory memory, Clocks clocks) {
        this.connection = connection;
        this.channel = channel;
        this.memory = memory;
        this.clocks = clocks;
    }

    /**
     * Writes a message without passing it to the network.
     *
     * @param message the message, which is released
     */
    void write(Object message) {
        measureIfCounted();
        channel.write(message, channel.voidPromise());
        measureIfCounted();
    }

    /** Passes what was written to the network, as far as the client has room. */
    void flush() {
        channel.flush();
        measure();
    }

    /**
     * Writes a message and passes it to the network.
     *
     * @param message the message, which is released
     * @return the time at which it has been passed on, or has failed
     */
    ChannelFuture writeLast(Object message) {
        measureIfCounted();
        ChannelFuture written = channel.write(message);
        measureIfCounted();
        flush();
        return written;
    }

    // Clients that read everything at once are not counted, so that their answers cost nothing.
    private void measureIfCounted() {
        if (counted) {
            measure();
        }
    }

    /** Counts what is unread now, and limits a client's buffer while the node's budget is exceeded. */
    void measure() {
        ChannelOutboundBuffer buffer = channel.channel().unsafe().outboundBuffer();
        long heldBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
        if (heldBytes == 0 && !counted) {
            return;
        }
        // The first message is released as a whole, so memory is held for what has been read of it.
        long unreadBytes = heldBytes == 0 ? 0 : Math.max(0, heldBytes - buffer.currentProgress());
        memory.bytes().onUnread(connection, heldBytes, unreadBytes, clocks.nowMillis());
        counted = heldBytes > 0;
        memory.onGrown();
        setLimited(heldBytes);
    }

    private void setLimited(long heldBytes) {
        boolean now = !memory.bytes().fits(0) && heldBytes > (limited ? RESUME_BYTES : WRITE_BUFFER_BYTES);
        if (now != limited) {
            limited = now;
            connection.onBackpressureChanged();
        }
    }

    /**
     * Returns whether no more of a stream should be written.
     *
     * @return true if what may be buffered for the client is used up
     */
    boolean isBackpressured() {
        return limited || !channel.channel().isWritable();
    }

    /**
     * Returns when the client was last seen to read.
     *
     * @return the time in milliseconds, or empty if it has read everything
     */
    OptionalLong progressMillis() {
        return memory.bytes().unread(connection).stream()
                .mapToLong(HeldBytes.Unread::progressMillis)
                .findFirst();
    }

    /** Counts nothing more for the connection, which is closed. */
    void onClosed() {
        counted = false;
        memory.bytes().onClosed(connection);
    }
}
