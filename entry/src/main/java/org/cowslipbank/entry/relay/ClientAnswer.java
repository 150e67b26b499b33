package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import org.cowslipbank.ports.relay.Header;

/** Where an exchange writes its answer, on the traffic thread. */
interface ClientAnswer {
    /**
     * Writes the head.
     *
     * @param status the HTTP status
     * @param headers the headers, but for those that frame the body
     * @param contentBytes length of the body in bytes; empty if it is not known
     */
    void head(int status, List<Header> headers, OptionalLong contentBytes);

    /**
     * Writes a piece of the body.
     *
     * @param bytes the piece; ownership passes on
     */
    void body(ByteBuf bytes);

    /** Ends a complete answer. */
    void end();

    /** Breaks the answer off, so that it does not look complete. */
    void abort();

    /**
     * Tells whether the client reads too slowly for more bytes.
     *
     * @return true if it does
     */
    boolean isBehind();
}
