package org.cowslipbank.entry.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPromise;
import org.cowslipbank.decision.relay.HeldBytes;

/**
 * The body of one attempt. It counts for the attempt's upstream from the choice of the upstream until the upstream has taken
 * it, or the attempt has ended without a send. Used on the traffic thread.
 */
final class SendingBody {
    private final HeldBytes<ClientConnection> held;
    private final String address;
    private final ByteBuf body;
    private final int bodyBytes;
    private boolean sent;
    private boolean unwritten;

    /**
     * Creates the body of an attempt that is not sent.
     *
     * @param held counts the body for the upstream
     * @param address the target as {@code IP:port}
     * @param body the request's body, which the exchange releases
     */
    SendingBody(HeldBytes<ClientConnection> held, String address, ByteBuf body) {
        this.held = held;
        this.address = address;
        this.body = body;
        this.bodyBytes = body.readableBytes();
        held.onSent(address, bodyBytes);
    }

    /**
     * Returns the bytes to be sent.
     *
     * @return a duplicate, which the caller releases
     */
    ByteBuf content() {
        return body.retainedDuplicate();
    }

    /**
     * Returns the promise of the write. The body stays in memory, and counted, until the last byte is passed to the network,
     * also if the exchange ends before, as with an early answer.
     *
     * @param channel the channel to which the body is written
     * @return a promise that costs nothing if the body is short
     */
    ChannelPromise written(Channel channel) {
        if (bodyBytes <= HeldBytes.SMALL_BODY_BYTES) {
            return channel.voidPromise();
        }
        sent = true;
        unwritten = true;
        ByteBuf kept = body.retain();
        ChannelPromise promise = channel.newPromise();
        promise.addListener(done -> {
            unwritten = false;
            kept.release();
            held.onTaken(address, bodyBytes);
            // As a void promise does, so that a failed write ends the connection in the same way.
            if (!done.isSuccess() && channel.isRegistered()) {
                channel.pipeline().fireExceptionCaught(done.cause());
            }
        });
        return promise;
    }

    /**
     * Returns whether a part of the body is still to be passed to the network. Short bodies are not watched.
     *
     * @return false before the send and once the write has ended
     */
    boolean isUnwritten() {
        return unwritten;
    }

    /** Called when the attempt has ended. A body that was passed to a connection counts until it is written. */
    void onAttemptEnded() {
        if (!sent) {
            sent = true;
            held.onTaken(address, bodyBytes);
        }
    }
}
