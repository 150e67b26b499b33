package org.cowslipbank.entry.relay;

import java.util.Set;
import java.util.regex.Pattern;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import org.cowslipbank.ports.StatusLines;

/**
 * Decodes the answers on one connection. Bytes outside of an answer that is awaited are never decoded, so that a part of
 * a head cannot become the beginning of the next answer's head.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
    /** The statuses of HTTP (RFC 9110, section 15); clients must not get any other as an answer. */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private final UpstreamConnection connection;
    private boolean answersHead;

    AnswerDecoder(UpstreamConnection connection) {
        super(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        this.connection = connection;
    }

    /**
     * Sets which request the next answers belong to.
     *
     * @param method the request's method; answers to {@code HEAD} have no body
     */
    void onSent(HttpMethod method) {
        answersHead = method.equals(HttpMethod.HEAD);
    }

    /**
     * Returns whether bytes have arrived behind the last message that was decoded.
     *
     * @return true if bytes are left
     */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        if (connection.awaitsAnswer()) {
            super.channelRead(context, bytes);
        } else {
            ReferenceCountUtil.release(bytes);
            connection.onStrayBytes();
        }
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        boolean wellFormed = VERSIONS.contains(statusLine[0])
                && STATUS.matcher(statusLine[1]).matches()
                && !StatusLines.isWithin(statusLine[2]);
        if (!wellFormed) {
            throw new IllegalArgumentException("malformed status line");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage head) {
        return answersHead || super.isContentAlwaysEmpty(head);
    }
}
