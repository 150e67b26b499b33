package org.cowslipbank.entry.relay;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses one with both a length and chunks, which Netty would repair by dropping the length. Such
 * a request can be read as two different ones.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int maxHeadBytes, int maxChunkBytes) {
        super(maxHeadBytes, maxHeadBytes, maxChunkBytes);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
