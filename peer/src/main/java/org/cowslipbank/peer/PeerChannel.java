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
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;

/**
 * One connection. Authenticates first, then passes messages, keeps heartbeats and closes on silence. All fields are
 * confined to the channel's event loop.
 */
final class PeerChannel extends SimpleChannelInboundHandler<ByteBuf> {
    /** Name of the frame decoder in the pipeline. */
    static final String FRAME_DECODER = "cowslipbank.frames";

    private static final int LENGTH_BYTES = 4;

    private final PeerSettings settings;
    private final Optional<VmId> expected;
    private final BiConsumer<PeerChannel, PeerMessage> receiver;
    private final Handshake handshake;
    private final Sinks.One<PeerChannel> opened = Sinks.one();
    private final Map<Long, MonoSink<byte[]>> pending = new HashMap<>();

    private ChannelHandlerContext context;
    private volatile boolean open;
    private boolean failed;
    private boolean retired;
    private String remote = "";
    private boolean challengeSent;
    private long openedNanos;
    private long receivedNanos;
    private long sentNanos;
    private long nextCorrelation = 1;

    /**
     * Creates the handler of one connection.
     *
     * @param settings the settings
     * @param expected the node that must answer; empty at the accepting side
     * @param receiver takes messages once the peer is authenticated
     */
    PeerChannel(PeerSettings settings, Optional<VmId> expected, BiConsumer<PeerChannel, PeerMessage> receiver) {
        this.settings = settings;
        this.expected = expected;
        this.receiver = receiver;
        this.handshake = new Handshake(settings.secret(), settings.self());
    }

    static LengthFieldBasedFrameDecoder frameDecoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    /** Emits this channel once both sides are authenticated, or the error. */
    Mono<PeerChannel> opened() {
        return opened.asMono();
    }

    boolean isOpen() {
        return open;
    }

    PeerIdentity peer() {
        return handshake.peer();
    }

    /** Tells whether the connection should be replaced before its next use. */
    boolean isOld() {
        return System.nanoTime() - openedNanos
                > TimeUnit.MILLISECONDS.toNanos(settings.limits().maxAgeMillis());
    }

    Mono<Void> send(PeerMessage message) {
        return Mono.create(sink -> context.executor().execute(() -> {
            byte[] payload = MessageCodec.encode(message);
            if (!isWritable(payload, sink)) {
                return;
            }
            write(payload);
            sink.success();
        }));
    }

    Mono<byte[]> request(RequestKind kind, byte[] body) {
        return Mono.create(sink -> context.executor().execute(() -> {
            long correlation = nextCorrelation++;
            byte[] payload = MessageCodec.encode(new PeerMessage.Request(correlation, kind, body));
            if (!isWritable(payload, sink)) {
                return;
            }
            pending.put(correlation, sink);
            sink.onDispose(() -> context.executor().execute(() -> pending.remove(correlation)));
            write(payload);
        }));
    }

    private boolean isWritable(byte[] payload, MonoSink<?> sink) {
        if (!open) {
            sink.error(error(Step.PEER, RunState.NOT_RUN, "connection closed", null));
            return false;
        }
        if (payload.length > settings.limits().maxFrameBytes()) {
            String message = "message of " + payload.length + " bytes exceeds the frame limit";
            sink.error(error(Step.PEER, RunState.NOT_RUN, message, null));
            return false;
        }
        return true;
    }

    /** Closes the connection as soon as no request waits for its answer. */
    void retire() {
        context.executor().execute(() -> {
            retired = true;
            closeIfUnused();
        });
    }

    private void closeIfUnused() {
        if ((retired || isOld()) && pending.isEmpty()) {
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
        remote = String.valueOf(ctx.channel().remoteAddress());
        openedNanos = System.nanoTime();
        ctx.channel().config().setAutoRead(true);
        long timeoutMillis = settings.limits().handshakeTimeoutMillis();
        ctx.executor().schedule(this::checkHandshake, timeoutMillis, TimeUnit.MILLISECONDS);
        if (expected.isPresent()) {
            write(handshake.hello());
        }
    }

    private void checkHandshake() {
        if (!open) {
            fail(error(Step.AUTHENTICATE, RunState.NOT_RUN, "authentication timed out", null));
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
        if (expected.isPresent()) {
            byte[] proof = handshake.proof(payload);
            VmId found = handshake.peer().vm();
            if (!found.equals(expected.get())) {
                throw new IOException("expected " + expected.get() + ", found " + found);
            }
            write(proof);
            markOpen();
            return;
        }
        if (!challengeSent) {
            write(handshake.challenge(payload));
            challengeSent = true;
            return;
        }
        handshake.verifyProof(payload);
        markOpen();
    }

    private void markOpen() {
        open = true;
        // Before authentication only short frames are accepted, so that a stranger cannot make the node buffer more.
        context.pipeline()
                .replace(
                        FRAME_DECODER,
                        FRAME_DECODER,
                        frameDecoder(settings.limits().maxFrameBytes()));
        sentNanos = System.nanoTime();
        long heartbeatMillis = settings.limits().heartbeatMillis();
        context.executor()
                .scheduleAtFixedRate(
                        this::checkSilence, heartbeatMillis / 2, heartbeatMillis / 2, TimeUnit.MILLISECONDS);
        opened.tryEmitValue(this);
    }

    private void readMessage(byte[] payload) throws IOException {
        PeerMessage message = MessageCodec.decode(payload);
        if (message instanceof PeerMessage.Reply reply) {
            Optional.ofNullable(pending.remove(reply.correlation())).ifPresent(sink -> sink.success(reply.body()));
        } else if (message instanceof PeerMessage.Failure failure) {
            Optional.ofNullable(pending.remove(failure.correlation()))
                    .ifPresent(sink -> sink.error(error(Step.PEER, failure.runState(), failure.message(), null)));
        } else if (message instanceof PeerMessage.Heartbeat) {
            write(MessageCodec.encode(new PeerMessage.HeartbeatAck()));
        } else if (!(message instanceof PeerMessage.HeartbeatAck)) {
            receiver.accept(this, message);
        }
    }

    private void checkSilence() {
        if (!open) {
            return;
        }
        long now = System.nanoTime();
        if (now - receivedNanos
                > TimeUnit.MILLISECONDS.toNanos(settings.limits().silenceMillis())) {
            fail(error(Step.PEER, RunState.UNKNOWN, "peer is silent", null));
            return;
        }
        long idleNanos = now - Math.min(receivedNanos, sentNanos);
        if (idleNanos > TimeUnit.MILLISECONDS.toNanos(settings.limits().heartbeatMillis() / 2)) {
            write(MessageCodec.encode(new PeerMessage.Heartbeat()));
        }
        closeIfUnused();
    }

    private void write(byte[] payload) {
        sentNanos = System.nanoTime();
        ByteBuf header = context.alloc().buffer(LENGTH_BYTES).writeInt(payload.length);
        context.writeAndFlush(Unpooled.wrappedBuffer(header, Unpooled.wrappedBuffer(payload)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(error(open ? Step.PEER : Step.AUTHENTICATE, RunState.UNKNOWN, "connection closed", null));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Step step = open ? Step.PEER : Step.AUTHENTICATE;
        fail(error(step, open ? RunState.UNKNOWN : RunState.NOT_RUN, cause.getMessage(), cause));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws IOException {
        // With TLS the channel is active before the TLS handshake ends; channelActive then comes later.
        if (ctx.channel().isActive() && settings.tls().isEmpty()) {
            start(ctx);
        }
    }

    private void fail(PeerException error) {
        if (failed) {
            return;
        }
        failed = true;
        open = false;
        opened.tryEmitError(error);
        pending.values().stream().toList().forEach(sink -> sink.error(error));
        pending.clear();
        close();
    }

    private PeerException error(Step step, RunState runState, String message, Throwable cause) {
        PeerIdentity known = handshake.peer();
        String peer = known == null ? expected.map(VmId::value).orElse(remote) : known.vm() + " " + known.address();
        return new PeerException(step, peer, runState, message, cause);
    }
}
