package org.cowslipbank.entry.relay;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects one with both {@code Content-Length} and {@code Transfer-Encoding: chunked}, which allows
 * request smuggling. Netty by default ignores the length instead.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    StrictRequestDecoder(int maxHeadBytes, int maxChunkBytes) {
        super(maxHeadBytes, maxHeadBytes, maxChunkBytes);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request with both Content-Length and Transfer-Encoding: chunked");
    }
}
