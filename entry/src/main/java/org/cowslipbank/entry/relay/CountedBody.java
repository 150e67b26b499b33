package org.cowslipbank.entry.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.cowslipbank.decision.relay.HeldBytes;

/**
 * A body that is counted as held until its memory is released. Duplicates share the count, so that a body that several
 * attempts send is counted once, until the last of them and the exchange have released it. Used on the traffic thread.
 */
final class CountedBody extends CompositeByteBuf {
    /** Pieces after which they are copied into one, as in Netty's own default. */
    private static final int MAX_PIECES = 16;

    private final HeldBytes<ClientConnection> held;
    private long countedBytes;

    /**
     * Creates an empty body.
     *
     * @param held counts its bytes
     */
    CountedBody(HeldBytes<ClientConnection> held) {
        super(UnpooledByteBufAllocator.DEFAULT, false, MAX_PIECES);
        this.held = held;
    }

    /**
     * Appends a piece.
     *
     * @param piece the piece, which is retained
     */
    void append(ByteBuf piece) {
        countedBytes += piece.readableBytes();
        held.add(piece.readableBytes());
        addComponent(true, piece.retain());
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        held.remove(countedBytes);
        countedBytes = 0;
    }
}
