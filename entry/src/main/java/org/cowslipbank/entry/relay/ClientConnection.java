package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
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
import org.cowslipbank.decision.relay.RetryDelay;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.ClientLimits;
import org.cowslipbank.ports.relay.ForwardedAnswer;
import org.cowslipbank.ports.relay.Forwarding;
import org.cowslipbank.ports.relay.Header;
import org.cowslipbank.ports.relay.RelayCodec.MalformedHeadException;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * One connection of a client. Requests are read completely before they are relayed, one at a time. The connection is
 * also read while a request is relayed, so that its close by the client is detected.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter implements ResponseWriter {
    /** Messages of pipelined requests queued while one is relayed; reading pauses beyond this number. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    /** Time after which a client that has not read the end of its answer is taken for gone. */
    private static final long STALLED_READER_MILLIS = 15_000;

    /**
     * Time for which what a client sends is discarded after its body was refused. A connection that is closed at once while
     * bytes arrive is reset, and the client may lose the refusal.
     */
    private static final long REFUSAL_READ_MILLIS = 1_000;

    private final ClientHttpServer server;
    private final StrictRequestDecoder decoder;
    private final RelayContext context;
    private final Deque<Object> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext channel;
    private ClientOutput output;
    private HttpRequest head;
    private CountedBody body;
    private Exchange exchange;
    private boolean answering;
    private boolean closeAfter;
    private boolean chunked;
    private boolean discardInput;
    private boolean closeSlowly;
    private boolean headBegun;
    private ChannelFuture lastWrite;
    private long pipelinedBytes;
    private String lastRequestId = "";
    private long lastActivityMillis;
    private long idleLimitMillis;
    private long maxBodyBytes;
    private long openedTurn;
    private long earliestArrivalMillis;

    ClientConnection(ClientHttpServer server, StrictRequestDecoder decoder, RelayContext context) {
        this.server = server;
        this.decoder = decoder;
        this.context = context;
    }

    /**
     * Closes the connection if it has been idle, or in the middle of a request, for longer than the limits allow. It is
     * closed in the next turn of the loop, unless a request is read before: after a long turn one may lie in the socket.
     */
    void closeIfExpired() {
        if (isExpired()) {
            channel.executor().schedule(this::closeIfStillExpired, 0, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isExpired() {
        return !answering && pipelined.isEmpty() && idleMillis() > limitMillis();
    }

    private long idleMillis() {
        long activityMillis =
                Math.max(lastActivityMillis, output.progressMillis().orElse(0));
        return context.clocks().nowMillis() - activityMillis;
    }

    private long limitMillis() {
        ClientLimits limits = server.limits();
        if (isAnswerUnsent()) {
            return Math.max(limits.idleTimeoutMillis(), STALLED_READER_MILLIS);
        }
        // Clients keep to the limit that was in force when the connection became idle.
        return isRequestIncomplete()
                ? limits.headerTimeoutMillis()
                : Math.max(idleLimitMillis, limits.idleTimeoutMillis());
    }

    private boolean isRequestIncomplete() {
        return head != null || decoder.hasPartialMessage();
    }

    private boolean isAnswerUnsent() {
        return lastWrite != null && !lastWrite.isDone();
    }

    private void closeIfStillExpired() {
        if (!isExpired()) {
            return;
        }
        context.metrics().onConnectionExpired();
        context.log()
                .logRequest(LogFields.event("client connection expired; it is closed")
                        .field("requestIncomplete", isRequestIncomplete())
                        .field("answerUnsent", isAnswerUnsent())
                        .field("idleMillis", idleMillis())
                        .field("limitMillis", limitMillis()));
        channel.close();
    }

    boolean isBusy() {
        return answering || !pipelined.isEmpty() || isAnswerUnsent() || isRequestIncomplete();
    }

    void close() {
        channel.close();
    }

    /** Counts what the client has not read now. */
    void measureUnread() {
        output.measure();
    }

    /** Returns the identifier of the last request that was relayed, empty before the first. */
    String lastRequestId() {
        return lastRequestId;
    }

    void answerUnfinished() {
        if (exchange != null) {
            exchange.onNodeEnding();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        channel = added;
        output = new ClientOutput(this, added, context.held(), context.clocks());
        context.turns().onEvent();
        openedTurn = context.turns().turn();
        earliestArrivalMillis = context.turns().earliestArrivalMillis();
        onIdle();
        server.onOpened(this);
    }

    private void onIdle() {
        lastActivityMillis = context.clocks().nowMillis();
        idleLimitMillis = server.limits().idleTimeoutMillis();
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        context.turns().onEvent();
        // Queued messages are read in a task of their own; a later one must not overtake them.
        if (answering || !pipelined.isEmpty()) {
            addPipelined(message);
            if (pipelined.size() > MAX_PIPELINED_MESSAGES
                    || !context.held().bytes().fits(0)) {
                channel.channel().config().setAutoRead(false);
            }
            return;
        }
        read(message);
    }

    private void addPipelined(Object message) {
        pipelined.add(message);
        onPipelined(contentBytes(message));
    }

    private void onPipelined(long changeBytes) {
        pipelinedBytes += changeBytes;
        context.held().bytes().add(changeBytes);
    }

    private static int contentBytes(Object message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext unused) {
        boolean begun = !answering && head == null && decoder.hasPartialMessage();
        if (begun && !headBegun) {
            lastActivityMillis = context.clocks().nowMillis();
        }
        headBegun = begun;
    }

    private void read(Object message) {
        try {
            lastActivityMillis = context.clocks().nowMillis();
            if (discardInput) {
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
        if (!hasUnambiguousLength(request)) {
            reject(
                    400,
                    "ambiguous body length: Content-Length or Transfer-Encoding is malformed, repeated or combined");
            return;
        }
        head = request;
        // A request may have arrived together with its connection, which is accepted one turn before it is read.
        boolean acceptedBefore = context.turns().turn() - openedTurn > 1;
        if (acceptedBefore) {
            earliestArrivalMillis = context.turns().earliestArrivalMillis();
        }
        body = context.held().newBody();
        closeAfter = !HttpUtil.isKeepAlive(request);
        maxBodyBytes = server.limits().maxBodyBytes();
        if (HttpUtil.getContentLength(request, 0L) > maxBodyBytes) {
            rejectBody(413, "body too long");
        } else if (HttpUtil.is100ContinueExpected(request) && !context.held().admits(1)) {
            refuseBody();
        } else if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    // Several lengths, or a length and chunks, allow request smuggling.
    private static boolean hasUnambiguousLength(HttpRequest request) {
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
            rejectBody(400, "malformed body");
            return;
        }
        // The limit may be lowered while the body is read, and the client keeps to the one that it knew.
        long limitBytes = Math.max(maxBodyBytes, server.limits().maxBodyBytes());
        if (body.readableBytes() + content.content().readableBytes() > limitBytes) {
            rejectBody(413, "body too long");
            return;
        }
        if (content.content().isReadable()) {
            if (!context.held().admits(content.content().readableBytes())) {
                refuseBody();
                return;
            }
            body.append(content.content());
        }
        if (content instanceof LastHttpContent) {
            relay();
        }
    }

    private void relay() {
        Optional<Decoded> decoded = decodeHead();
        if (decoded.isEmpty()) {
            return;
        }
        CountedBody requestBody = body;
        head = null;
        body = null;
        answering = true;
        chunked = false;
        RelayRequest request = decoded.get().request();
        lastRequestId = request.id();
        Exchange started =
                new Exchange(context, this, request, decoded.get().forwarding(), requestBody, earliestArrivalMillis);
        exchange = started;
        started.start();
    }

    /** A request's head, with what the node says that has passed the request on. */
    private record Decoded(RelayRequest request, Optional<Forwarding> forwarding) {}

    /** Decodes the head, or rejects the request. */
    private Optional<Decoded> decodeHead() {
        try {
            return Optional.of(new Decoded(
                    context.codec().decodeRequest(head.method().name(), head.uri(), head.headers()),
                    server.servesNodes()
                            ? Optional.of(context.codec().decodeForwarding(head.headers()))
                            : Optional.empty()));
        } catch (MalformedHeadException e) {
            reject(400, e.getMessage());
        } catch (RuntimeException e) {
            reject(503, "unexpected error while the request head was decoded: " + e);
        }
        return Optional.empty();
    }

    /** Refuses a request whose body does not fit into the node's memory. Nothing of it has been sent. */
    private void refuseBody() {
        context.metrics().onHeldRejected();
        closeSlowly = true;
        decodeHead().ifPresent(decoded -> {
            String id = decoded.request().id();
            long retryAfterMillis = RetryDelay.spreadMillis(Exchange.RETRY_AFTER_MILLIS, id);
            int runs = decoded.forwarding().map(Forwarding::runs).orElse(0);
            ForwardedAnswer about = new ForwardedAnswer(
                    ForwardedAnswer.Kind.UNABLE, runs, Optional.empty(), RefusalReasons.HELD_MEMORY);
            List<Header> headers =
                    new AnswerHeaders(context.codec(), decoded.forwarding()).ofRefusal(id, retryAfterMillis, about);
            reject(503, headers, RefusalReasons.HELD_MEMORY);
        });
    }

    /** Rejects a request whose body may still be arriving. */
    private void rejectBody(int status, String reason) {
        closeSlowly = true;
        reject(status, reason);
    }

    private void reject(int status, String reason) {
        reject(status, List.of(), reason);
    }

    private void reject(int status, List<Header> headers, String reason) {
        context.log()
                .logRequest(LogFields.event("request rejected")
                        .field("status", status)
                        .field("reason", reason));
        discard();
        discardInput = true;
        closeAfter = true;
        writeHead(status, headers, OptionalLong.of(0));
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
    public void writeHead(int status, List<Header> headers, OptionalLong contentBytes) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        headers.forEach(header -> response.headers().add(header.name(), header.value()));
        if (contentBytes.isPresent()) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, contentBytes.getAsLong());
        } else {
            chunked = true;
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        closeAfter = closeAfter || server.isDraining();
        if (closeAfter) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        output.write(response);
        if (chunked) {
            output.flush();
        }
    }

    @Override
    public void writeBody(ByteBuf bytes) {
        output.write(new DefaultHttpContent(bytes));
        if (chunked) {
            output.flush();
        }
    }

    @Override
    public void end() {
        // The write may report backpressure, and the exchange's upstream connection may serve another one already.
        exchange = null;
        lastWrite = output.writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
        answering = false;
        lastActivityMillis = context.clocks().nowMillis();
        // The head of a long answer may have been sent before the node began to drain.
        if (closeAfter || server.isClosing()) {
            discardInput = true;
            releasePipelined();
            lastWrite.addListener(done -> closeAfterAnswer());
            return;
        }
        lastWrite.addListener(done -> onIdle());
        // Pipelined requests are read only after the exchange that called this method has finished.
        channel.executor().execute(this::readPipelined);
    }

    private void closeAfterAnswer() {
        if (closeSlowly && channel.channel() instanceof DuplexChannel duplex && isOpen()) {
            duplex.shutdownOutput();
            channel.executor().schedule((Runnable) channel::close, REFUSAL_READ_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }

    private void releasePipelined() {
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        onPipelined(-pipelinedBytes);
    }

    private void readPipelined() {
        while (!answering && !pipelined.isEmpty()) {
            Object message = pipelined.poll();
            onPipelined(-contentBytes(message));
            read(message);
        }
        if (pipelined.size() <= MAX_PIPELINED_MESSAGES
                && !channel.channel().config().isAutoRead()) {
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
    public boolean isBackpressured() {
        return output.isBackpressured();
    }

    @Override
    public boolean isOpen() {
        return channel.channel().isActive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext unused) {
        onBackpressureChanged();
    }

    /** Lets the exchange go on, or pause, by what is buffered for the client. */
    void onBackpressureChanged() {
        if (exchange != null) {
            exchange.onWritabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        context.turns().onEvent();
        server.onClosed(this);
        discard();
        releasePipelined();
        output.onClosed();
        if (exchange != null) {
            Exchange abandoned = exchange;
            exchange = null;
            abandoned.onClientGone();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        // A reset by the client is normal; channelInactive follows.
        if (!(cause instanceof IOException)) {
            context.log()
                    .logRequest(LogFields.event("unexpected error on a client's connection; it is closed")
                            .error(cause));
        }
        channel.close();
    }
}
