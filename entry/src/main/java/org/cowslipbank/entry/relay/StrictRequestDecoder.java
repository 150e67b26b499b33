package org.cowslipbank.entry.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects one with both {@code Content-Length} and {@code Transfer-Encoding: chunked}, which allows
 * request smuggling. Netty by default ignores the length instead.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private boolean lineConsumed;

    StrictRequestDecoder(int maxHeadBytes, int maxChunkBytes) {
        super(maxHeadBytes, maxHeadBytes, maxChunkBytes);
    }

    /**
     * Returns whether bytes were received of which no message has been decoded yet, such as a part of a head.
     *
     * @return true within a head, or within the framing of a body
     */
    boolean hasPartialMessage() {
        return lineConsumed || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
        int readableBefore = bytes.readableBytes();
        int decodedBefore = decoded.size();
        super.decode(context, bytes, decoded);
        if (decoded.size() > decodedBefore) {
            lineConsumed = false;
        } else if (bytes.readableBytes() < readableBefore) {
            lineConsumed = true;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request with both Content-Length and Transfer-Encoding: chunked");
    }
}
