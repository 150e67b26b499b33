package org.cowslipbank.entry.relay;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.cowslipbank.ports.StatusLines;
import org.cowslipbank.ports.relay.AnswerHead;
import org.cowslipbank.ports.relay.Header;
import org.cowslipbank.ports.relay.RelayCodec;
import org.cowslipbank.ports.relay.RelayRequest;

/**
 * One connection to an upstream, with one request at a time. A ready-made HTTP client is not used, because it hides
 * answers to other requests, bytes after an answer and how a connection ended; all of these decide whether a request may
 * be retried and how its client is answered.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** Idle timeout assumed for an upstream that states none; upstreams close idle connections after seconds. */
    static final long DEFAULT_IDLE_MILLIS = 2_000;

    /** Part of the idle timeout left unused, so that a request does not race with the upstream's close. */
    static final long IDLE_MARGIN_MILLIS = 700;

    /** Interim answers accepted before a final one. */
    static final int MAX_INTERIM_ANSWERS = 8;

    /** Bytes of an answer to another request that are skipped before the connection is given up. */
    static final int MAX_SKIPPED_BYTES = 64 * 1024;

    /** Requests whose identifiers are remembered, 100 KB at most; then the connection is not used again. */
    static final int MAX_REQUESTS = 1_000;

    private static final int FIRST_FINAL_STATUS = 200;
    private static final ByteBuf STATUS_LINE = Unpooled.unreleasableBuffer(
                    Unpooled.copiedBuffer("HTTP/1.", StandardCharsets.US_ASCII))
            .asReadOnly();
    private static final String MALFORMED_BODY = "malformed answer body";

    private final RelayCodec codec;
    private final UpstreamConnectionPool pool;
    private final String address;
    private final long number;
    private final AnswerDecoder decoder = new AnswerDecoder(this);
    private Channel channel;
    private UpstreamListener listener;
    /** The body of the last request, null before the first. */
    private SendingBody sent;

    private String requestId = "";
    private final Set<String> sentIds = new HashSet<>();
    private AnswerHead head;
    private boolean skippingAnswer;
    private int interimAnswers;
    private int skippedBytes;
    private boolean reusable = true;
    private AnswerAnomaly.Framing framing = AnswerAnomaly.Framing.UNKNOWN;
    private boolean endedByClose;
    private long bodyBytes;
    /** What ended the connection, null if it was closed by either side. */
    private Throwable error;

    private boolean processVerified;
    private boolean closing;
    private long idleMillis = DEFAULT_IDLE_MILLIS;
    private long idleSinceMillis;

    /**
     * Creates a connection that is not open yet.
     *
     * @param codec decodes heads of answers
     * @param pool the pool that the connection returns to
     * @param address the target as {@code IP:port}
     * @param number number of the connection in its pool, for the log
     */
    UpstreamConnection(RelayCodec codec, UpstreamConnectionPool pool, String address, long number) {
        this.codec = codec;
        this.pool = pool;
        this.address = address;
        this.number = number;
    }

    /**
     * Returns the handlers of this connection's channel.
     *
     * @return the handlers from the network's side on
     */
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpRequestEncoder(), decoder, this};
    }

    String address() {
        return address;
    }

    void onIdle(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    boolean isUsable(long nowMillis) {
        return channel.isActive() && reusable && listener == null && nowMillis - idleSinceMillis < idleMillis;
    }

    void send(RelayRequest request, Iterable<Header> headers, SendingBody sending, UpstreamListener answerListener) {
        listener = answerListener;
        sent = sending;
        requestId = request.id();
        sentIds.add(requestId);
        reusable = reusable && sentIds.size() < MAX_REQUESTS;
        head = null;
        framing = AnswerAnomaly.Framing.UNKNOWN;
        bodyBytes = 0;
        skippingAnswer = false;
        interimAnswers = 0;
        skippedBytes = 0;
        HttpMethod method = HttpMethod.valueOf(request.method());
        HttpHeaders encoded = new DefaultHttpHeaders();
        headers.forEach(header -> encoded.add(header.name(), header.value()));
        // Taken once nothing before the write can fail, since a body that is not written would never be released.
        ByteBuf body = sending.content();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, request.target(), body, encoded, EmptyHttpHeaders.INSTANCE);
        if (body.isReadable() || !request.method().equals("GET")) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        decoder.onSent(message.method());
        // A failed write closes the channel, and channelInactive then notifies the listener.
        channel.writeAndFlush(message, sending.written(channel));
    }

    void pauseReading(boolean paused) {
        channel.config().setAutoRead(!paused);
    }

    /**
     * Returns whether answers to a request can be told from copies of earlier ones on this connection.
     *
     * @param id the request's identifier
     * @return false if a request with this identifier was sent on this connection before
     */
    boolean canCarry(String id) {
        return !sentIds.contains(id);
    }

    /**
     * Returns whether another answer stands within the body of the last one, as when an upstream breaks off within the body
     * and writes an answer behind it.
     *
     * @param body the whole body
     * @return true if the head of an answer to a request of this connection is in the body
     */
    boolean isAnswerWithin(ByteBuf body) {
        return ByteBufUtil.indexOf(STATUS_LINE, body) >= 0
                && StatusLines.areFollowedByAny(body.toString(StandardCharsets.ISO_8859_1), sentIds);
    }

    /** Cancels the request; the upstream stops it when the connection closes. */
    void cancel() {
        listener = null;
        close();
    }

    void close() {
        reusable = false;
        closing = true;
        channel.close();
    }

    boolean awaitsAnswer() {
        return listener != null;
    }

    /** Called when bytes arrive that cannot be assigned to any request. */
    void onStrayBytes() {
        if (reusable) {
            report(AnswerAnomaly.Kind.STRAY_BYTES, Optional.ofNullable(head), AnswerAnomaly.Ending.OPEN);
        }
        close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        pool.onEvent();
        try {
            if (listener == null) {
                return;
            }
            if (message instanceof HttpResponse response) {
                onResponse(response);
            }
            if (listener != null && !skippingAnswer) {
                listener.onBytesReceived();
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
            failHead(response.decoderResult().cause());
            return;
        }
        if (StatusLines.isWithin(response.headers())) {
            fail(UpstreamListener.Failure.MALFORMED, "status line within the headers of the answer");
            return;
        }
        int status = response.status().code();
        if (status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            fail(UpstreamListener.Failure.MALFORMED, "switch to another protocol");
            return;
        }
        skippingAnswer = status < FIRST_FINAL_STATUS;
        if (skippingAnswer) {
            if (++interimAnswers > MAX_INTERIM_ANSWERS) {
                fail(UpstreamListener.Failure.MALFORMED, "more than " + MAX_INTERIM_ANSWERS + " interim answers");
            }
            return;
        }
        AnswerHead decoded = codec.decodeAnswer(status, response.headers());
        if (!decoded.requestId().isEmpty() && !decoded.requestId().equals(requestId)) {
            // A late or duplicate answer to an earlier request on this connection.
            skippingAnswer = true;
            reusable = false;
            report(AnswerAnomaly.Kind.SECOND_ANSWER, Optional.of(decoded), AnswerAnomaly.Ending.OPEN);
            return;
        }
        if (decoded.requestId().isEmpty()) {
            // Also a refusal: it may be a copy of an earlier one, and this request may run.
            fail(UpstreamListener.Failure.MALFORMED, "answer without a request id");
            return;
        }
        framing = framingOf(decoded, response);
        reusable = reusable && !decoded.closesConnection() && !endsAtClose() && HttpUtil.isKeepAlive(response);
        idleMillis = decoded.idleTimeoutMillis().orElse(DEFAULT_IDLE_MILLIS) - IDLE_MARGIN_MILLIS;
        head = decoded;
        listener.onHead(decoded);
    }

    private static AnswerAnomaly.Framing framingOf(AnswerHead decoded, HttpResponse response) {
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return AnswerAnomaly.Framing.CHUNKS;
        }
        return decoded.contentBytes().isPresent() ? AnswerAnomaly.Framing.LENGTH : AnswerAnomaly.Framing.UNTIL_CLOSE;
    }

    /**
     * Returns whether the close of the connection marks the end of the last answer.
     *
     * @return true if it has neither a length nor chunks
     */
    boolean endsAtClose() {
        return framing == AnswerAnomaly.Framing.UNTIL_CLOSE;
    }

    /**
     * Returns whether the last answer ended because the connection was closed. An answer that has no body ends at its head.
     *
     * @return true if only the close marked the end
     */
    boolean endedByClose() {
        return endedByClose;
    }

    /** Records that the registered process of the upstream was alive after this connection had been opened. */
    void onProcessVerified() {
        processVerified = true;
    }

    /**
     * Returns whether this connection is known to lead to the process that is registered.
     *
     * @return false if the upstream may have started again before the connection was opened
     */
    boolean isProcessVerified() {
        return processVerified;
    }

    boolean isOpen() {
        return channel.isActive();
    }

    AnswerAnomaly.Framing framing() {
        return framing;
    }

    private void failHead(Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            // The listener is gone before the channel is reported as inactive.
            pool.onBroken(address);
            fail(UpstreamListener.Failure.BROKEN, "connection closed within the headers of the answer");
        } else {
            fail(UpstreamListener.Failure.MALFORMED, "malformed HTTP status line or headers");
        }
    }

    private void onContent(HttpContent content) {
        if (listener == null) {
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (content.decoderResult().isFailure() || last && !hasSoundTrailer((LastHttpContent) content)) {
            fail(UpstreamListener.Failure.BROKEN, MALFORMED_BODY);
            return;
        }
        if (skippingAnswer || head == null) {
            skippingAnswer = skippingAnswer && !last;
            skippedBytes += content.content().readableBytes();
            if (skippedBytes > MAX_SKIPPED_BYTES) {
                fail(UpstreamListener.Failure.MALFORMED, "endless answer to another request");
            }
            return;
        }
        if (content.content().isReadable()) {
            bodyBytes += content.content().readableBytes();
            listener.onBody(content.content());
        }
        if (last && listener != null) {
            completeAnswer();
        }
    }

    private static boolean hasSoundTrailer(LastHttpContent last) {
        return !StatusLines.isWithin(last.trailingHeaders());
    }

    private void completeAnswer() {
        if (endsAtClose() && error != null) {
            fail(UpstreamListener.Failure.BROKEN, "connection reset before the end of the answer");
            return;
        }
        endedByClose = endsAtClose() && !channel.isActive();
        UpstreamListener ended = listener;
        listener = null;
        if (decoder.hasUnreadBytes()) {
            onStrayBytes();
        }
        // After an early answer the upstream may never read the rest of the request, nor what is written behind it.
        if (reusable && !sent.isUnwritten() && channel.isActive()) {
            // The answer may have ended while its client did not read; the next answer has another client.
            pauseReading(false);
            pool.release(this);
        } else {
            close();
        }
        ended.onEnd();
    }

    private void fail(UpstreamListener.Failure failure, String message) {
        UpstreamListener failed = listener;
        listener = null;
        close();
        if (failed == null) {
            return;
        }
        if (head != null) {
            report(AnswerAnomaly.Kind.BROKEN_OFF, Optional.of(head), endingOf(message));
        } else if (failure == UpstreamListener.Failure.MALFORMED) {
            report(AnswerAnomaly.Kind.MALFORMED_HEAD, Optional.empty(), AnswerAnomaly.Ending.MALFORMED);
        }
        failed.onFailure(failure, message);
    }

    private AnswerAnomaly.Ending endingOf(String message) {
        if (message.equals(MALFORMED_BODY)) {
            return AnswerAnomaly.Ending.MALFORMED;
        }
        return error == null ? AnswerAnomaly.Ending.CLOSED : AnswerAnomaly.Ending.RESET;
    }

    private void report(AnswerAnomaly.Kind kind, Optional<AnswerHead> received, AnswerAnomaly.Ending ending) {
        pool.onAnomaly(new AnswerAnomaly(
                kind, address, number, sentIds.size(), requestId, received, framing, bodyBytes, ending));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A close by this node fails what is being written, which says nothing about the upstream.
        error = closing ? error : cause;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.onEvent();
        pool.onClosed(this);
        if (listener != null) {
            pool.onBroken(address);
        } else if (error != null) {
            pool.onIdleReset(address);
        }
        fail(UpstreamListener.Failure.BROKEN, error == null ? "closed" : String.valueOf(error.getMessage()));
    }
}
