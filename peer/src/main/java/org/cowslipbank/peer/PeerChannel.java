package org.cowslipbank.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/**
 * One connection to a peer. Authenticates it first, then transfers messages, sends heartbeats and closes the connection
 * when the peer stays silent too long. Fields are only written on the channel's event loop.
 */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {
    /** Name of the frame decoder in the pipeline. */
    static final String FRAME_DECODER = "cowslipbank.frames";

    private static final int LENGTH_BYTES = 4;

    private final PeerSettings settings;
    private final Optional<VmId> expectedPeer;
    private final BiConsumer<PeerChannel, PeerMessage> messageReceiver;
    private final Handshake handshake;
    private final Sinks.One<PeerChannel> openSink = Sinks.one();
    private final Map<Long, MonoSink<byte[]>> pendingRequests = new HashMap<>();

    private ChannelHandlerContext context;
    private volatile boolean open;
    private boolean failureReported;
    private boolean retiring;
    private String remoteAddress = "";
    private boolean challengeSent;
    private long openedNanos;
    private long receivedNanos;
    private long sentNanos;
    private long nextCorrelationId = 1;

    /**
     * Creates the handler of one connection.
     *
     * @param settings the settings
     * @param expectedPeer the node that must answer; empty on the accepting side
     * @param messageReceiver receives messages once the peer is authenticated; heartbeats and replies are handled here
     */
    PeerChannel(
            PeerSettings settings, Optional<VmId> expectedPeer, BiConsumer<PeerChannel, PeerMessage> messageReceiver) {
        this.settings = settings;
        this.expectedPeer = expectedPeer;
        this.messageReceiver = messageReceiver;
        this.handshake = new Handshake(settings.secret(), settings.self());
    }

    static LengthFieldBasedFrameDecoder frameDecoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Emits this channel once the handshake has succeeded, or the error that ended it. */
    Mono<PeerChannel> whenOpen() {
        return openSink.asMono();
    }

    boolean isOpen() {
        return open;
    }

    PeerIdentity peer() {
        return handshake.peer();
    }

    /** Returns whether the connection exceeds its maximum age and must be replaced before its next use. */
    boolean isExpired() {
        return System.nanoTime() - openedNanos
                > TimeUnit.MILLISECONDS.toNanos(settings.limits().maxAgeMillis());
    }

    Mono<Void> send(PeerMessage message) {
        return Mono.create(sink -> context.executor().execute(() -> {
            byte[] payload = MessageCodec.encode(message);
            if (!checkSendable(payload, sink)) {
                return;
            }
            write(payload);
            sink.success();
        }));
    }

    Mono<byte[]> request(RequestKind kind, byte[] body) {
        return Mono.create(sink -> context.executor().execute(() -> {
            long correlationId = nextCorrelationId++;
            byte[] payload = MessageCodec.encode(new PeerMessage.Request(correlationId, kind, body));
            if (!checkSendable(payload, sink)) {
                return;
            }
            pendingRequests.put(correlationId, sink);
            sink.onDispose(() -> context.executor().execute(() -> pendingRequests.remove(correlationId)));
            write(payload);
        }));
    }

    /** Fails the sink and returns false if the payload cannot be sent. */
    private boolean checkSendable(byte[] payload, MonoSink<?> sink) {
        if (!open) {
            sink.error(peerError(ProcessingStep.PEER, RunState.NOT_RUN, "connection closed", null));
            return false;
        }
        if (payload.length > settings.limits().maxFrameBytes()) {
            String message = "message of " + payload.length + " bytes exceeds the frame limit of "
                    + settings.limits().maxFrameBytes() + " bytes";
            sink.error(peerError(ProcessingStep.PEER, RunState.NOT_RUN, message, null));
            return false;
        }
        return true;
    }

    /** Closes the connection as soon as no request is pending. */
    void retire() {
        context.executor().execute(() -> {
            retiring = true;
            closeIfRetiringAndIdle();
        });
    }

    private void closeIfRetiringAndIdle() {
        if ((retiring || isExpired()) && pendingRequests.isEmpty()) {
            close();
        }
    }

    void close() {
        ChannelHandlerContext current = context;
        if (current != null) {
            current.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws IOException {
        start(ctx);
    }

    /** Starts the handshake, whether the channel becomes active now or was active when the handler was added. */
    private void start(ChannelHandlerContext ctx) throws IOException {
        if (context != null) {
            return;
        }
        context = ctx;
        remoteAddress = String.valueOf(ctx.channel().remoteAddress());
        openedNanos = System.nanoTime();
        ctx.channel().config().setAutoRead(true);
        long timeoutMillis = settings.limits().handshakeTimeoutMillis();
        ctx.executor().schedule(this::checkHandshake, timeoutMillis, TimeUnit.MILLISECONDS);
        if (expectedPeer.isPresent()) {
            write(handshake.createHello());
        }
    }

    private void checkHandshake() {
        if (!open) {
            fail(peerError(
                    ProcessingStep.AUTHENTICATE,
                    RunState.NOT_RUN,
                    "no authentication within " + settings.limits().handshakeTimeoutMillis() + " ms",
                    null));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
        receivedNanos = System.nanoTime();
        if (open) {
            readMessage(ByteBufUtil.getBytes(frame));
            return;
        }
        readHandshake(ByteBufUtil.getBytes(frame));
    }

    private void readHandshake(byte[] payload) throws IOException {
        if (expectedPeer.isPresent()) {
            byte[] proof = handshake.answerChallenge(payload);
            VmId found = handshake.peer().vm();
            if (!found.equals(expectedPeer.get())) {
                throw new IOException("expected peer " + expectedPeer.get() + ", but " + found + " answered");
            }
            write(proof);
            markOpen();
            return;
        }
        if (!challengeSent) {
            write(handshake.answerHello(payload));
            challengeSent = true;
            return;
        }
        handshake.verifyProof(payload);
        markOpen();
    }

    private void markOpen() {
        open = true;
        // Only short frames are accepted before authentication, to bound the memory an unauthenticated peer can use.
        context.pipeline()
                .replace(
                        FRAME_DECODER,
                        FRAME_DECODER,
                        frameDecoder(settings.limits().maxFrameBytes()));
        sentNanos = System.nanoTime();
        long heartbeatMillis = settings.limits().heartbeatMillis();
        context.executor()
                .scheduleAtFixedRate(
                        this::checkLiveness, heartbeatMillis / 2, heartbeatMillis / 2, TimeUnit.MILLISECONDS);
        openSink.tryEmitValue(this);
    }

    private void readMessage(byte[] payload) throws IOException {
        PeerMessage message = MessageCodec.decode(payload);
        if (message instanceof PeerMessage.Reply reply) {
            Optional.ofNullable(pendingRequests.remove(reply.correlationId()))
                    .ifPresent(sink -> sink.success(reply.body()));
        } else if (message instanceof PeerMessage.Failure failure) {
            Optional.ofNullable(pendingRequests.remove(failure.correlationId()))
                    .ifPresent(sink ->
                            sink.error(peerError(ProcessingStep.PEER, failure.runState(), failure.message(), null)));
        } else if (message instanceof PeerMessage.Heartbeat) {
            write(MessageCodec.encode(new PeerMessage.HeartbeatAck()));
        } else if (!(message instanceof PeerMessage.HeartbeatAck)) {
            messageReceiver.accept(this, message);
        }
    }

    private void checkLiveness() {
        if (!open) {
            return;
        }
        long now = System.nanoTime();
        if (now - receivedNanos
                > TimeUnit.MILLISECONDS.toNanos(settings.limits().silenceMillis())) {
            fail(peerError(
                    ProcessingStep.PEER,
                    RunState.UNKNOWN,
                    "no message from peer within " + settings.limits().silenceMillis() + " ms",
                    null));
            return;
        }
        long idleNanos = now - Math.min(receivedNanos, sentNanos);
        if (idleNanos > TimeUnit.MILLISECONDS.toNanos(settings.limits().heartbeatMillis() / 2)) {
            write(MessageCodec.encode(new PeerMessage.Heartbeat()));
        }
        closeIfRetiringAndIdle();
    }

    private void write(byte[] payload) {
        sentNanos = System.nanoTime();
        ByteBuf header = context.alloc().buffer(LENGTH_BYTES).writeInt(payload.length);
        context.writeAndFlush(Unpooled.wrappedBuffer(header, Unpooled.wrappedBuffer(payload)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(peerError(
                open ? ProcessingStep.PEER : ProcessingStep.AUTHENTICATE, RunState.UNKNOWN, "connection closed", null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ProcessingStep step = open ? ProcessingStep.PEER : ProcessingStep.AUTHENTICATE;
        fail(peerError(step, open ? RunState.UNKNOWN : RunState.NOT_RUN, cause.getMessage(), cause));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws IOException {
        // With TLS the channel is already active here, but channelActive is fired only after the TLS handshake.
        if (ctx.channel().isActive() && settings.tls().isEmpty()) {
            start(ctx);
        }
    }

    private void fail(PeerException error) {
        if (failureReported) {
            return;
        }
        failureReported = true;
        open = false;
        openSink.tryEmitError(error);
        pendingRequests.values().stream().toList().forEach(sink -> sink.error(error));
        pendingRequests.clear();
        close();
    }

    private PeerException peerError(ProcessingStep step, RunState runState, String message, Throwable cause) {
        PeerIdentity known = handshake.peer();
        String peer = known == null
                ? expectedPeer.map(VmId::value).orElse(remoteAddress)
                : known.vm() + " " + known.address();
        return new PeerException(step, peer, runState, message, cause);
    }
}
