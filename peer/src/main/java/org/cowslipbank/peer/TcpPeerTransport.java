package org.cowslipbank.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/** Peer transport over TCP. Reuses an authenticated connection to a peer, whichever side opened it. */
public final class TcpPeerTransport implements PeerTransport {
    private static final Logger LOG = LogManager.getLogger(TcpPeerTransport.class);

    private final PeerSettings settings;
    private final Optional<SslContext> serverTlsContext;
    private final Optional<SslContext> clientTlsContext;
    private final Map<PeerAddress, Mono<PeerChannel>> outboundChannels = new ConcurrentHashMap<>();
    private final Map<VmId, PeerChannel> authenticatedChannels = new ConcurrentHashMap<>();
    private final Set<PeerChannel> allChannels = ConcurrentHashMap.newKeySet();
    private final Map<RequestKind, RequestHandler> requestHandlers = new EnumMap<>(RequestKind.class);
    private MessageHandler messageHandler = (from, message) -> {};
    private volatile DisposableServer server;
    private volatile boolean stopped;

    /**
     * Creates a transport that is not listening yet.
     *
     * @param settings the settings
     * @throws ConfigurationException if the TLS files cannot be loaded
     */
    public TcpPeerTransport(PeerSettings settings) throws ConfigurationException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.serverTlsContext = settings.tls().isPresent()
                ? Optional.of(buildServerTls(settings.tls().get()))
                : Optional.empty();
        this.clientTlsContext = settings.tls().isPresent()
                ? Optional.of(buildClientTls(settings.tls().get()))
                : Optional.empty();
    }

    @Override
    public Mono<Void> start() {
        TcpServer plainServer = TcpServer.create()
                .host(settings.bindHost())
                .port(settings.bindPort())
                .doOnChannelInit((observer, channel, remote) -> installHandlers(channel, Optional.empty()));
        TcpServer tcpServer = serverTlsContext
                .map(tls -> plainServer.secure(spec -> spec.sslContext(tls)))
                .orElse(plainServer);
        return tcpServer.bind().doOnNext(bound -> server = bound).then();
    }

    /**
     * Returns the port on which the transport listens.
     *
     * @return the port
     * @throws IllegalStateException if the transport is not listening
     */
    public int port() {
        DisposableServer bound = server;
        if (bound == null) {
            throw new IllegalStateException("peer transport is not listening; start it first");
        }
        return bound.port();
    }

    @Override
    public Mono<Void> stop() {
        stopped = true;
        return Mono.fromRunnable(() -> {
            DisposableServer bound = server;
            if (bound != null) {
                bound.disposeNow(Duration.ofSeconds(1));
            }
            allChannels.forEach(PeerChannel::close);
        });
    }

    @Override
    public Mono<Void> send(PeerAddress to, PeerMessage message) {
        return openChannel(to).flatMap(channel -> channel.send(message));
    }

    @Override
    public Mono<byte[]> request(PeerAddress to, RequestKind kind, byte[] body, long timeoutMillis) {
        Duration timeout = Duration.ofMillis(timeoutMillis);
        return openChannel(to)
                .flatMap(channel -> channel.request(kind, body))
                .timeout(timeout)
                // The connection may be half-open, in which case only a new one reaches the peer.
                .doOnError(TimeoutException.class, e -> retireConnections(to))
                .onErrorMap(
                        TimeoutException.class,
                        e -> peerError(
                                to,
                                RunState.UNKNOWN,
                                "no reply to " + kind + " request within " + timeoutMillis + " ms",
                                e));
    }

    @Override
    public void onMessage(MessageHandler handler) {
        messageHandler = Objects.requireNonNull(handler, "handler");
    }

    @Override
    public void onRequest(RequestKind kind, RequestHandler handler) {
        requestHandlers.put(kind, Objects.requireNonNull(handler, "handler"));
    }

    @Override
    public void retireConnections(PeerAddress to) {
        outboundChannels.remove(to);
        authenticatedChannels.remove(to.vm());
        allChannels.stream()
                .filter(channel -> channel.isOpen() && channel.peer().vm().equals(to.vm()))
                .forEach(PeerChannel::retire);
    }

    private Mono<PeerChannel> openChannel(PeerAddress to) {
        return Mono.defer(() -> {
            if (stopped) {
                return Mono.error(peerError(to, RunState.NOT_RUN, "peer transport is stopped", null));
            }
            PeerChannel current = authenticatedChannels.get(to.vm());
            if (current != null && isUsable(current, to)) {
                return Mono.just(current);
            }
            Mono<PeerChannel> existing = outboundChannels.computeIfAbsent(to, this::connect);
            return existing.flatMap(channel -> {
                if (channel.isOpen() && !channel.isExpired()) {
                    return Mono.just(channel);
                }
                // The channel has failed but its close listener has not run yet, or it has exceeded its maximum age.
                outboundChannels.remove(to, existing);
                return outboundChannels.computeIfAbsent(to, this::connect);
            });
        });
    }

    private static boolean isUsable(PeerChannel channel, PeerAddress to) {
        return channel.isOpen()
                && !channel.isExpired()
                && channel.peer().address().equals(to.address());
    }

    /** Concurrent senders share one connection attempt; its map entry is removed when the connection fails or ends. */
    private Mono<PeerChannel> connect(PeerAddress to) {
        int colon = to.address().lastIndexOf(':');
        if (colon < 1) {
            return Mono.error(
                    peerError(to, RunState.NOT_RUN, "peer address '" + to.address() + "' is not IP:port", null));
        }
        String host = to.address().substring(0, colon);
        int port = Integer.parseInt(to.address().substring(colon + 1));
        AtomicReference<Mono<PeerChannel>> cachedConnect = new AtomicReference<>();
        Mono<PeerChannel> connecting = Mono.<PeerChannel>create(sink -> {
                    TcpClient plainClient = TcpClient.create(ConnectionProvider.newConnection())
                            .host(host)
                            .port(port)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                                    settings.limits().connectTimeoutMillis())
                            .doOnChannelInit((observer, channel, remote) -> {
                                PeerChannel created = installHandlers(channel, Optional.of(to.vm()));
                                channel.closeFuture()
                                        .addListener(closed -> outboundChannels.remove(to, cachedConnect.get()));
                                created.whenOpen().subscribe(sink::success, sink::error);
                            });
                    TcpClient client = clientTlsContext
                            .map(tls -> plainClient.secure(spec -> spec.sslContext(tls)))
                            .orElse(plainClient);
                    client.connect().subscribe(connection -> {}, sink::error);
                })
                .onErrorMap(
                        e -> !(e instanceof PeerException),
                        e -> peerError(to, RunState.NOT_RUN, "cannot connect: " + e.getMessage(), e))
                .doOnError(e -> outboundChannels.remove(to, cachedConnect.get()))
                .cache();
        cachedConnect.set(connecting);
        return connecting;
    }

    private PeerChannel installHandlers(Channel channel, Optional<VmId> expectedPeer) {
        PeerChannel created = new PeerChannel(settings, expectedPeer, this::dispatch);
        channel.pipeline()
                .addBefore(
                        NettyPipeline.ReactiveBridge,
                        PeerChannel.FRAME_DECODER,
                        PeerChannel.frameDecoder(Handshake.MAX_FRAME_BYTES));
        channel.pipeline().addBefore(NettyPipeline.ReactiveBridge, "cowslipbank.peer", created);
        allChannels.add(created);
        channel.closeFuture().addListener(closed -> unregisterChannel(created));
        created.whenOpen()
                .subscribe(
                        this::registerChannel,
                        e -> LOG.debug("peer connection with {} failed: {}", channel.remoteAddress(), e.toString()));
        return created;
    }

    private void registerChannel(PeerChannel channel) {
        authenticatedChannels.put(channel.peer().vm(), channel);
    }

    private void unregisterChannel(PeerChannel channel) {
        allChannels.remove(channel);
        if (channel.peer() != null) {
            authenticatedChannels.remove(channel.peer().vm(), channel);
        }
    }

    private void dispatch(PeerChannel channel, PeerMessage message) {
        if (message instanceof PeerMessage.Request request) {
            handleRequest(channel, request);
            return;
        }
        messageHandler.handle(channel.peer(), message);
    }

    private void handleRequest(PeerChannel channel, PeerMessage.Request request) {
        RequestHandler handler = requestHandlers.get(request.kind());
        if (handler == null) {
            String message = "peer does not answer " + request.kind();
            sendReply(channel, new PeerMessage.Failure(request.correlationId(), RunState.NOT_RUN, message));
            return;
        }
        Mono.defer(() -> handler.handle(channel.peer(), request.body()))
                .defaultIfEmpty(new byte[0])
                .subscribe(
                        body -> sendReply(channel, new PeerMessage.Reply(request.correlationId(), body)),
                        e -> sendReply(channel, toFailure(request, e)));
    }

    private static PeerMessage toFailure(PeerMessage.Request request, Throwable error) {
        RunState runState = error instanceof CowslipbankException reported ? reported.runState() : RunState.UNKNOWN;
        return new PeerMessage.Failure(request.correlationId(), runState, String.valueOf(error.getMessage()));
    }

    private static void sendReply(PeerChannel channel, PeerMessage message) {
        channel.send(message)
                .subscribe(
                        sent -> {},
                        e -> LOG.debug(
                                "cannot send reply to peer {}: {}",
                                channel.peer().vm(),
                                e.toString()));
    }

    private static PeerException peerError(PeerAddress to, RunState runState, String message, Throwable cause) {
        return new PeerException(ProcessingStep.PEER, to.vm() + " " + to.address(), runState, message, cause);
    }

    private static SslContext buildServerTls(PeerTls tls) throws ConfigurationException {
        try {
            return SslContextBuilder.forServer(
                            tls.certificateFile().toFile(), tls.keyFile().toFile())
                    .trustManager(tls.authorityFile().toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
        } catch (IOException | IllegalArgumentException e) {
            throw tlsError(tls, e);
        }
    }

    private static SslContext buildClientTls(PeerTls tls) throws ConfigurationException {
        try {
            return SslContextBuilder.forClient()
                    .keyManager(tls.certificateFile().toFile(), tls.keyFile().toFile())
                    .trustManager(tls.authorityFile().toFile())
                    // The handshake checks the peer's identity, not the host name in its certificate.
                    .endpointIdentificationAlgorithm("")
                    .build();
        } catch (IOException | IllegalArgumentException e) {
            throw tlsError(tls, e);
        }
    }

    private static ConfigurationException tlsError(PeerTls tls, Exception cause) {
        return new ConfigurationException(
                tls.certificateFile().toString(), 0, "$", "cannot load peer TLS files: " + cause.getMessage());
    }
}
