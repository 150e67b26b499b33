package org.cowslipbank.entry.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.ClientLimits;
import org.cowslipbank.ports.relay.Header;
import org.cowslipbank.ports.relay.RelayRequest;
import org.cowslipbank.ports.relay.RelayWire.MalformedHeadException;

/**
 * One connection of a client. Requests are read whole before they are relayed, one at a time; the connection is read
 * all the while, so that a client's leaving is noticed.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ClientAnswer {
    /** Messages of pipelined requests that are kept while one is relayed; more of them stop the reading. */
    private static final int MAX_PENDING = 64;

    private final FrontServer front;
    private final RelayContext context;
    private final Deque<Object> pending = new ArrayDeque<>();
    private ChannelHandlerContext channel;
    private HttpRequest head;
    private CompositeByteBuf body;
    private Exchange exchange;
    private boolean answering;
    private boolean closeAfter;
    private boolean chunked;
    private boolean broken;
    private long busySinceMillis;

    ClientConnection(FrontServer front, RelayContext context) {
        this.front = front;
        this.context = context;
        this.busySinceMillis = context.clocks().nowMillis();
    }

    /** Closes the connection if nothing has happened on it for too long, or at once if it is idle and must go. */
    void sweep(long nowMillis, ClientLimits limits) {
        if (answering) {
            return;
        }
        long idleMillis = nowMillis - busySinceMillis;
        long limitMillis = head == null ? limits.idleTimeoutMillis() : limits.headerTimeoutMillis();
        if (idleMillis > limitMillis) {
            channel.close();
        }
    }

    boolean isBusy() {
        return answering || head != null;
    }

    void close() {
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context;
        front.onOpened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        if (answering) {
            pending.add(message);
            if (pending.size() > MAX_PENDING) {
                channel.channel().config().setAutoRead(false);
            }
            return;
        }
        read(message);
    }

    private void read(Object message) {
        try {
            busySinceMillis = context.clocks().nowMillis();
            if (broken) {
                return;
            }
            if (message instanceof HttpRequest request) {
                onHead(request);
            }
            if (message instanceof HttpContent content && head != null) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
            reject(tooLong ? 431 : 400, "malformed request head");
            return;
        }
        if (!isFramedOnce(request)) {
            reject(400, "ambiguous length");
            return;
        }
        head = request;
        body = Unpooled.compositeBuffer();
        closeAfter = !HttpUtil.isKeepAlive(request);
        if (HttpUtil.getContentLength(request, 0L) > front.limits().maxBodyBytes()) {
            reject(413, "body too long");
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    // A request with two lengths, or with a length and chunks, can be read as two different requests.
    private static boolean isFramedOnce(HttpRequest request) {
        HttpHeaders headers = request.headers();
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean oneLength =
                lengths.isEmpty() || lengths.size() == 1 && lengths.get(0).matches("[0-9]{1,18}");
        boolean chunks = encodings.isEmpty()
                || encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                encodings.get(0).trim());
        return oneLength && chunks && (lengths.isEmpty() || encodings.isEmpty());
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            reject(400, "malformed body");
            return;
        }
        if (body.readableBytes() + content.content().readableBytes()
                > front.limits().maxBodyBytes()) {
            reject(413, "body too long");
            return;
        }
        if (content.content().isReadable()) {
            body.addComponent(true, content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            relay();
        }
    }

    private void relay() {
        HttpRequest request = head;
        CompositeByteBuf whole = body;
        head = null;
        body = null;
        RelayRequest decoded;
        try {
            decoded = context.wire().decodeRequest(request.method().name(), request.uri(), request.headers());
        } catch (MalformedHeadException e) {
            whole.release();
            reject(400, e.getMessage());
            return;
        }
        answering = true;
        chunked = false;
        Exchange begun =
                new Exchange(context, this, decoded, whole, context.clocks().nowMillis());
        exchange = begun;
        begun.begin();
    }

    private void reject(int status, String reason) {
        context.log()
                .request(LogFields.event("request rejected")
                        .field("status", status)
                        .field("reason", reason));
        discard();
        broken = true;
        closeAfter = true;
        head(status, List.of(), OptionalLong.of(0));
        end();
    }

    private void discard() {
        head = null;
        if (body != null) {
            body.release();
            body = null;
        }
    }

    @Override
    public void head(int status, List<Header> headers, OptionalLong contentBytes) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        headers.forEach(header -> response.headers().add(header.name(), header.value()));
        if (contentBytes.isPresent()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentBytes.getAsLong());
        } else {
            chunked = true;
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        closeAfter = closeAfter || front.isLeaving();
        if (closeAfter) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.write(response, channel.voidPromise());
        if (chunked) {
            channel.flush();
        }
    }

    @Override
    public void body(ByteBuf bytes) {
        channel.write(new DefaultHttpContent(bytes), channel.voidPromise());
        if (chunked) {
            channel.flush();
        }
    }

    @Override
    public void end() {
        var written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        exchange = null;
        answering = false;
        busySinceMillis = context.clocks().nowMillis();
        if (closeAfter) {
            broken = true;
            written.addListener(done -> channel.close());
            return;
        }
        // Requests that came meanwhile are read only after the caller has finished this one.
        channel.executor().execute(this::readPending);
    }

    private void readPending() {
        while (!answering && !pending.isEmpty()) {
            read(pending.poll());
        }
        if (pending.size() <= MAX_PENDING && !channel.channel().config().isAutoRead()) {
            channel.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void abort() {
        exchange = null;
        answering = false;
        channel.close();
    }

    @Override
    public boolean isBehind() {
        return !channel.channel().isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext unused) {
        if (exchange != null) {
            exchange.onClientPace();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        front.onClosed(this);
        discard();
        pending.forEach(ReferenceCountUtil::release);
        pending.clear();
        if (exchange != null) {
            Exchange left = exchange;
            exchange = null;
            left.onClientGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        // A client that resets its connection is an ordinary end; channelInactive follows.
        channel.close();
    }
}
