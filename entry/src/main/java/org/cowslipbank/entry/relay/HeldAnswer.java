package org.cowslipbank.entry.relay;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.cowslipbank.ports.relay.AnswerHead;

/**
 * Holds an answer back before its receiver sees any of it, so that a failure meanwhile leaves no trace of it there. The
 * connection is read on: a break of the answer is noticed, and the upstream does not seem silent. Used on the traffic thread.
 */
final class HeldAnswer implements UpstreamListener {
    /** Most bytes that are held; a stream brings fewer while a report is written. */
    static final int MAX_BYTES = 64 * 1024;

    private final UpstreamListener receiver;
    private final Gate gate;
    private final List<Runnable> held = new ArrayList<>();
    private boolean holding;
    private boolean passing;
    private int heldBytes;

    /** Decides what is held, and learns of it. */
    interface Gate {
        /**
         * Returns whether an answer is to be held from its head on.
         *
         * @param head the head
         * @return false if the head may be passed on
         */
        boolean holdsHead(AnswerHead head);

        /**
         * Returns whether an answer is to be held from its first bytes on.
         *
         * @return false if all of it may be passed on
         */
        boolean holdsBody();

        /** Called with the first piece of the body that is held. */
        void onBodyHeld();

        /**
         * Called when the answer has ended at its connection.
         *
         * @param isHeld true if it is passed on later, when the connection may carry another answer
         */
        void onAnswerEnded(boolean isHeld);

        /**
         * Returns whether the receiver wants nothing more of the answer.
         *
         * @return true once the attempt has ended
         */
        boolean isEnded();

        /** Called when more than {@link #MAX_BYTES} would have to be held. */
        void onTooLong();
    }

    /**
     * Creates a holder that passes everything on until its gate says otherwise.
     *
     * @param receiver the receiver
     * @param gate what is held
     */
    HeldAnswer(UpstreamListener receiver, Gate gate) {
        this.receiver = receiver;
        this.gate = gate;
    }

    /**
     * Returns whether something is held back.
     *
     * @return false before, and once it was released
     */
    boolean isHolding() {
        return holding;
    }

    /** Passes on what is held, and all that follows. */
    void release() {
        passing = true;
        holding = false;
        List<Runnable> steps = List.copyOf(held);
        held.clear();
        for (Runnable step : steps) {
            if (gate.isEnded()) {
                return;
            }
            step.run();
        }
    }

    @Override
    public void onBytesReceived() {
        receiver.onBytesReceived();
    }

    @Override
    public void onHead(AnswerHead head) {
        holding = gate.holdsHead(head);
        passOrHold(() -> receiver.onHead(head));
    }

    @Override
    public void onBody(ByteBuf bytes) {
        if (!holding && !passing) {
            holding = gate.holdsBody();
            passing = !holding;
        }
        if (!holding) {
            receiver.onBody(bytes);
            return;
        }
        if (heldBytes == 0) {
            gate.onBodyHeld();
        }
        heldBytes += bytes.readableBytes();
        if (heldBytes > MAX_BYTES) {
            held.clear();
            gate.onTooLong();
            return;
        }
        byte[] copy = ByteBufUtil.getBytes(bytes);
        held.add(() -> receiver.onBody(Unpooled.wrappedBuffer(copy)));
    }

    @Override
    public void onEnd() {
        gate.onAnswerEnded(holding);
        passOrHold(receiver::onEnd);
    }

    @Override
    public void onFailure(Failure failure, String message) {
        held.clear();
        holding = false;
        receiver.onFailure(failure, message);
    }

    private void passOrHold(Runnable step) {
        if (holding) {
            held.add(step);
        } else {
            step.run();
        }
    }
}
