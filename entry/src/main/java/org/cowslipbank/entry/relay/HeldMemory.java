package org.cowslipbank.entry.relay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.util.internal.PlatformDependent;
import org.cowslipbank.decision.relay.HeldBytes;
import org.cowslipbank.entry.log.LogFields;

/**
 * Keeps what the node holds for its connections within a budget: refuses request bodies that do not fit, and closes the
 * connections of clients that have stopped reading. Used on the traffic thread.
 */
public final class HeldMemory {
    /** Bytes of a megabyte in the node's settings. */
    public static final long MEGABYTE_BYTES = 1_048_576;

    /** What is unread is measured again after this time while the budget is exceeded, so that a measurement costs little. */
    private static final long ENFORCE_DELAY_MILLIS = 20;

    private final HeldBytes<ClientConnection> bytes;
    private final EventLoop loop;
    private final Clocks clocks;
    private final RelayMetrics metrics;
    private final DecisionLog log;
    private boolean scheduled;

    /**
     * Creates an empty count.
     *
     * @param heldMegabytes the budget in megabytes; zero for half of what the JVM has
     * @param loop the traffic thread
     * @param clocks the clocks
     * @param metrics counts what is refused and closed
     * @param log the structured log
     */
    HeldMemory(int heldMegabytes, EventLoop loop, Clocks clocks, RelayMetrics metrics, DecisionLog log) {
        this.bytes = new HeldBytes<>(heldMegabytes == 0 ? availableBytes() / 2 : heldMegabytes * MEGABYTE_BYTES);
        this.loop = loop;
        this.clocks = clocks;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Returns the memory that buffers may use: the heap or the direct memory, whichever is smaller.
     *
     * @return the memory in bytes
     */
    public static long availableBytes() {
        return Math.min(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
    }

    HeldBytes<ClientConnection> bytes() {
        return bytes;
    }

    /**
     * Creates a body whose bytes are counted until it is released.
     *
     * @return an empty body
     */
    CountedBody newBody() {
        return new CountedBody(bytes);
    }

    /**
     * Counts a request's body for the upstream of an attempt.
     *
     * @param target where the attempt sends it
     * @param body the body
     * @return the body of the attempt
     */
    SendingBody sending(AttemptTarget target, ByteBuf body) {
        return new SendingBody(bytes, target.address(), body);
    }

    /**
     * Returns whether more of a request's body may be read. Closes connections of clients that have stopped reading if it
     * would not fit otherwise.
     *
     * @param more the number of bytes
     * @return false if the request is to be refused
     */
    boolean admits(long more) {
        return bytes.fits(more) || closeStalled(more);
    }

    /** Called when answers have grown. Connections are closed in a task of its own, as one of them may be written to. */
    void onGrown() {
        if (!scheduled && !bytes.fits(0)) {
            scheduled = true;
            loop.schedule(
                    new GuardedTask("held memory", this::enforce, log), ENFORCE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void enforce() {
        scheduled = false;
        closeStalled(0);
    }

    /** Measures what clients have not read, and closes connections if that is over the budget; called twice a second. */
    void sweep() {
        closeStalled(0);
    }

    private boolean closeStalled(long more) {
        // Nothing tells when a client has read; a client that has must not be closed, nor a request refused for it.
        bytes.readers().forEach(ClientConnection::measureUnread);
        Optional<ClientConnection> stalled = bytes.connectionToClose(more, clocks.nowMillis());
        while (stalled.isPresent()) {
            close(stalled.get());
            stalled = bytes.connectionToClose(more, clocks.nowMillis());
        }
        return bytes.fits(more);
    }

    private void close(ClientConnection stalled) {
        HeldBytes.Unread unread = bytes.unread(stalled).get();
        metrics.onHeldClosed();
        log.logRequest(LogFields.event("client has stopped reading; its connection is closed to free memory")
                .field("request", stalled.lastRequestId())
                .field("unreadBytes", unread.unreadBytes())
                .field("stalledMillis", clocks.nowMillis() - unread.progressMillis())
                .field("heldBytes", bytes.bytes())
                .field("budgetBytes", bytes.budgetBytes()));
        stalled.close();
        bytes.onClosed(stalled);
    }
}
