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
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/** Transport over TCP with one open connection per peer and direction. */
public final class TcpPeerTransport implements PeerTransport {
    private static final Logger LOG = LogManager.getLogger(TcpPeerTransport.class);

    private final PeerSettings settings;
    private final Optional<SslContext> serverTls;
    private final Optional<SslContext> clientTls;
    private final Map<PeerAddress, Mono<PeerChannel>> outbound = new ConcurrentHashMap<>();
    private final Map<VmId, PeerChannel> authenticated = new ConcurrentHashMap<>();
    private final Set<PeerChannel> channels = ConcurrentHashMap.newKeySet();
    private final Map<RequestKind, RequestHandler> requestHandlers = new EnumMap<>(RequestKind.class);
    private MessageHandler messageHandler = (from, message) -> {};
    private volatile DisposableServer server;
    private volatile boolean stopped;

    /**
     * Creates a transport that does not listen yet.
     *
     * @param settings the settings
     * @throws ConfigurationException if the TLS files cannot be used
     */
    public TcpPeerTransport(PeerSettings settings) throws ConfigurationException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.serverTls = settings.tls().isPresent()
                ? Optional.of(serverTls(settings.tls().get()))
                : Optional.empty();
        this.clientTls = settings.tls().isPresent()
                ? Optional.of(clientTls(settings.tls().get()))
                : Optional.empty();
    }

    @Override
    public Mono<Void> start() {
        TcpServer listening = TcpServer.create()
                .host(settings.bindHost())
                .port(settings.bindPort())
                .doOnChannelInit((observer, channel, remote) -> install(channel, Optional.empty()));
        TcpServer secured = serverTls
                .map(tls -> listening.secure(spec -> spec.sslContext(tls)))
                .orElse(listening);
        return secured.bind().doOnNext(bound -> server = bound).then();
    }

    /**
     * Returns the port on which the transport listens.
     *
     * @return the port
     * @throws IllegalStateException if the transport does not listen
     */
    public int port() {
        DisposableServer bound = server;
        if (bound == null) {
            throw new IllegalStateException("transport does not listen");
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
            channels.forEach(PeerChannel::close);
        });
    }

    @Override
    public Mono<Void> send(PeerAddress to, PeerMessage message) {
        return channel(to).flatMap(channel -> channel.send(message));
    }

    @Override
    public Mono<byte[]> request(PeerAddress to, RequestKind kind, byte[] body, long timeoutMillis) {
        Duration timeout = Duration.ofMillis(timeoutMillis);
        return channel(to)
                .flatMap(channel -> channel.request(kind, body))
                .timeout(timeout)
                // The connection may have gone silent for good while new ones work.
                .doOnError(TimeoutException.class, e -> reset(to))
                .onErrorMap(
                        TimeoutException.class,
                        e -> error(to, RunState.UNKNOWN, "no answer within " + timeoutMillis + " ms", e));
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
    public void reset(PeerAddress to) {
        outbound.remove(to);
        authenticated.remove(to.vm());
        channels.stream()
                .filter(channel -> channel.isOpen() && channel.peer().vm().equals(to.vm()))
                .forEach(PeerChannel::retire);
    }

    private Mono<PeerChannel> channel(PeerAddress to) {
        return Mono.defer(() -> {
            if (stopped) {
                return Mono.error(error(to, RunState.NOT_RUN, "transport is stopped", null));
            }
            PeerChannel accepted = authenticated.get(to.vm());
            if (accepted != null && isUsable(accepted, to)) {
                return Mono.just(accepted);
            }
            Mono<PeerChannel> known = outbound.computeIfAbsent(to, this::connect);
            return known.flatMap(channel -> {
                if (channel.isOpen() && !channel.isOld()) {
                    return Mono.just(channel);
                }
                // The channel has failed or is too old, but its close has not been noticed here yet.
                outbound.remove(to, known);
                return outbound.computeIfAbsent(to, this::connect);
            });
        });
    }

    private static boolean isUsable(PeerChannel channel, PeerAddress to) {
        return channel.isOpen() && !channel.isOld() && channel.peer().address().equals(to.address());
    }

    /** Connects once for all waiting callers; the entry is removed when the connection fails or closes. */
    private Mono<PeerChannel> connect(PeerAddress to) {
        int colon = to.address().lastIndexOf(':');
        if (colon < 1) {
            return Mono.error(error(to, RunState.NOT_RUN, "address is not IP:port", null));
        }
        String host = to.address().substring(0, colon);
        int port = Integer.parseInt(to.address().substring(colon + 1));
        AtomicReference<Mono<PeerChannel>> entry = new AtomicReference<>();
        Mono<PeerChannel> connecting = Mono.<PeerChannel>create(sink -> {
                    TcpClient plain = TcpClient.create(ConnectionProvider.newConnection())
                            .host(host)
                            .port(port)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                                    settings.limits().connectTimeoutMillis())
                            .doOnChannelInit((observer, channel, remote) -> {
                                PeerChannel created = install(channel, Optional.of(to.vm()));
                                channel.closeFuture().addListener(closed -> outbound.remove(to, entry.get()));
                                created.opened().subscribe(sink::success, sink::error);
                            });
                    TcpClient client = clientTls
                            .map(tls -> plain.secure(spec -> spec.sslContext(tls)))
                            .orElse(plain);
                    client.connect().subscribe(connection -> {}, sink::error);
                })
                .onErrorMap(
                        e -> !(e instanceof PeerException),
                        e -> error(to, RunState.NOT_RUN, "cannot connect: " + e.getMessage(), e))
                .doOnError(e -> outbound.remove(to, entry.get()))
                .cache();
        entry.set(connecting);
        return connecting;
    }

    private PeerChannel install(Channel channel, Optional<VmId> expected) {
        PeerChannel created = new PeerChannel(settings, expected, this::receive);
        channel.pipeline()
                .addBefore(
                        NettyPipeline.ReactiveBridge,
                        PeerChannel.FRAME_DECODER,
                        PeerChannel.frameDecoder(Handshake.MAX_FRAME_BYTES));
        channel.pipeline().addBefore(NettyPipeline.ReactiveBridge, "cowslipbank.peer", created);
        channels.add(created);
        channel.closeFuture().addListener(closed -> forget(created));
        created.opened().subscribe(this::remember, e -> LOG.debug("peer connection failed: {}", e.toString()));
        return created;
    }

    private void remember(PeerChannel channel) {
        authenticated.put(channel.peer().vm(), channel);
    }

    private void forget(PeerChannel channel) {
        channels.remove(channel);
        if (channel.peer() != null) {
            authenticated.remove(channel.peer().vm(), channel);
        }
    }

    private void receive(PeerChannel channel, PeerMessage message) {
        if (message instanceof PeerMessage.Request request) {
            answer(channel, request);
            return;
        }
        messageHandler.handle(channel.peer(), message);
    }

    private void answer(PeerChannel channel, PeerMessage.Request request) {
        RequestHandler handler = requestHandlers.get(request.kind());
        if (handler == null) {
            String message = "peer does not answer " + request.kind();
            reply(channel, new PeerMessage.Failure(request.correlation(), RunState.NOT_RUN, message));
            return;
        }
        Mono.defer(() -> handler.handle(channel.peer(), request.body()))
                .defaultIfEmpty(new byte[0])
                .subscribe(
                        body -> reply(channel, new PeerMessage.Reply(request.correlation(), body)),
                        e -> reply(channel, failure(request, e)));
    }

    private static PeerMessage failure(PeerMessage.Request request, Throwable error) {
        RunState runState = error instanceof CowslipbankException known ? known.runState() : RunState.UNKNOWN;
        return new PeerMessage.Failure(request.correlation(), runState, String.valueOf(error.getMessage()));
    }

    private static void reply(PeerChannel channel, PeerMessage message) {
        channel.send(message).subscribe(sent -> {}, e -> LOG.debug("reply not sent: {}", e.toString()));
    }

    private static PeerException error(PeerAddress to, RunState runState, String message, Throwable cause) {
        return new PeerException(Step.PEER, to.vm() + " " + to.address(), runState, message, cause);
    }

    private static SslContext serverTls(PeerTls tls) throws ConfigurationException {
        try {
            return SslContextBuilder.forServer(
                            tls.certificateFile().toFile(), tls.keyFile().toFile())
                    .trustManager(tls.authorityFile().toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
        } catch (IOException | IllegalArgumentException e) {
            throw unusable(tls, e);
        }
    }

    private static SslContext clientTls(PeerTls tls) throws ConfigurationException {
        try {
            return SslContextBuilder.forClient()
                    .keyManager(tls.certificateFile().toFile(), tls.keyFile().toFile())
                    .trustManager(tls.authorityFile().toFile())
                    .endpointIdentificationAlgorithm("")
                    .build();
        } catch (IOException | IllegalArgumentException e) {
            throw unusable(tls, e);
        }
    }

    private static ConfigurationException unusable(PeerTls tls, Exception cause) {
        return new ConfigurationException(
                tls.certificateFile().toString(), 0, "$", "TLS files cannot be used: " + cause.getMessage());
    }
}
