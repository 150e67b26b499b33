package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import org.cowslipbank.ports.relay.Header;

/** Writes an exchange's answer to the client. Used on the traffic thread. */
interface ResponseWriter {
    /**
     * Writes the status line and the headers.
     *
     * @param status the HTTP status
     * @param headers the headers, without those that frame the body
     * @param contentBytes length of the body in bytes; empty for a chunked body
     */
    void writeHead(int status, List<Header> headers, OptionalLong contentBytes);

    /**
     * Writes a piece of the body.
     *
     * @param bytes the piece; released by this method
     */
    void writeBody(ByteBuf bytes);

    /** Completes the answer. */
    void end();

    /** Closes the connection, so that the client does not take the answer for complete. */
    void abort();

    /**
     * Returns whether the client reads too slowly, so that no more bytes should be written.
     *
     * @return true if the connection's write buffer is full
     */
    boolean isBackpressured();

    /**
     * Returns whether the client's connection is open. It may be closed a little earlier than the exchange is told.
     *
     * @return false once the connection is closed
     */
    boolean isOpen();
}
