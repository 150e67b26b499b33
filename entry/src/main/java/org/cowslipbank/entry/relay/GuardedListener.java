package org.cowslipbank.entry.relay;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import org.cowslipbank.ports.relay.AnswerHead;

/**
 * Passes an upstream's answer on in guarded steps, so that an unexpected error in one of them ends the request. The
 * connection cannot report it: its listener is gone once the answer is complete.
 *
 * @param listener the receiver
 * @param guard runs a step and handles its unexpected errors
 */
record GuardedListener(UpstreamListener listener, Consumer<Runnable> guard) implements UpstreamListener {
    @Override
    public void onBytesReceived() {
        guard.accept(listener::onBytesReceived);
    }

    @Override
    public void onHead(AnswerHead head) {
        guard.accept(() -> listener.onHead(head));
    }

    @Override
    public void onBody(ByteBuf bytes) {
        guard.accept(() -> listener.onBody(bytes));
    }

    @Override
    public void onEnd() {
        guard.accept(listener::onEnd);
    }

    @Override
    public void onFailure(Failure failure, String message) {
        guard.accept(() -> listener.onFailure(failure, message));
    }
}
