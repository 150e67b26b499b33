package org.cowslipbank.entry.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.cowslipbank.ports.relay.AnswerHead;
import org.cowslipbank.ports.relay.Header;
import org.cowslipbank.ports.relay.RelayRequest;
import org.cowslipbank.ports.relay.RelayWire;

/**
 * One connection to an upstream, with one request at a time. A pooled HTTP client is not used here: it hides answers of
 * other requests, bytes after an answer and how a connection ended, all of which decide what a client may be told.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** Idle time that is assumed where an upstream states none; upstreams close idle connections after seconds. */
    static final long DEFAULT_IDLE_MILLIS = 2_000;

    /** Part of the stated idle time that is not used, so that a request does not meet the upstream's close. */
    static final long IDLE_MARGIN_MILLIS = 700;

    private static final int FIRST_FINAL_STATUS = 200;

    private final RelayWire wire;
    private final UpstreamConnections pool;
    private final String address;
    private Channel channel;
    private UpstreamListener listener;
    private String requestId = "";
    private AnswerHead head;
    private boolean skipping;
    private boolean reusable = true;
    private boolean untilClose;
    private Throwable error;
    private long idleMillis = DEFAULT_IDLE_MILLIS;
    private long idleSinceMillis;

    UpstreamConnection(RelayWire wire, UpstreamConnections pool, String address) {
        this.wire = wire;
        this.pool = pool;
        this.address = address;
    }

    String address() {
        return address;
    }

    boolean isUsable(long nowMillis) {
        return channel.isActive() && reusable && listener == null && nowMillis - idleSinceMillis < idleMillis;
    }

    void send(RelayRequest request, Iterable<Header> headers, ByteBuf body, UpstreamListener to) {
        listener = to;
        requestId = request.id();
        head = null;
        skipping = false;
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(), body);
        headers.forEach(header -> message.headers().add(header.name(), header.value()));
        if (body.isReadable() || !request.method().equals("GET")) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        // A failed write is followed by the close of the channel, which is what the listener hears of.
        channel.writeAndFlush(message, channel.voidPromise());
    }

    void pauseReading(boolean paused) {
        channel.config().setAutoRead(!paused);
    }

    /** Gives the request up: the upstream drops it when its connection closes. */
    void cancel() {
        listener = null;
        close();
    }

    void close() {
        reusable = false;
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                // Bytes that no request awaits belong to none.
                close();
                return;
            }
            listener.onHeard();
            if (message instanceof HttpResponse response) {
                onResponse(response);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onResponse(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail(UpstreamListener.Failure.MALFORMED, "no HTTP answer");
            return;
        }
        int status = response.status().code();
        skipping = status < FIRST_FINAL_STATUS;
        if (skipping) {
            return;
        }
        AnswerHead decoded = wire.decodeAnswer(status, response.headers());
        if (!decoded.requestId().isEmpty() && !decoded.requestId().equals(requestId)) {
            // A late or second answer to an earlier request of this connection.
            skipping = true;
            reusable = false;
            return;
        }
        if (decoded.requestId().isEmpty() && !decoded.notExecuted()) {
            fail(UpstreamListener.Failure.MALFORMED, "an answer without a request id");
            return;
        }
        untilClose = decoded.contentBytes().isEmpty() && !HttpUtil.isTransferEncodingChunked(response);
        reusable = reusable && !decoded.closes() && !untilClose && HttpUtil.isKeepAlive(response);
        idleMillis = decoded.idleTimeoutMillis().orElse(DEFAULT_IDLE_MILLIS) - IDLE_MARGIN_MILLIS;
        head = decoded;
        listener.onHead(decoded);
    }

    private void onContent(HttpContent content) {
        if (listener == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            fail(UpstreamListener.Failure.BROKEN, "malformed body");
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping || head == null) {
            skipping = skipping && !last;
            return;
        }
        if (content.content().isReadable()) {
            listener.onBody(content.content());
        }
        if (last && listener != null) {
            end();
        }
    }

    private void end() {
        if (untilClose && error != null) {
            fail(UpstreamListener.Failure.BROKEN, "reset before the end of the answer");
            return;
        }
        UpstreamListener ended = listener;
        listener = null;
        idleSinceMillis = pool.nowMillis();
        if (reusable && channel.isActive()) {
            pool.giveBack(this);
        } else {
            close();
        }
        ended.onEnd();
    }

    private void fail(UpstreamListener.Failure failure, String message) {
        UpstreamListener failed = listener;
        listener = null;
        close();
        if (failed != null) {
            failed.onFailure(failure, message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        error = cause;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.onClosed(this);
        fail(UpstreamListener.Failure.BROKEN, error == null ? "closed" : String.valueOf(error.getMessage()));
    }
}
