package org.cowslipbank.entry.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import org.cowslipbank.entry.traffic.MonotonicClock;
import org.cowslipbank.ports.relay.RelayCodec;
import reactor.netty.resources.LoopResources;

/** Pool of idle connections to upstreams, or to other nodes. Owned by the traffic thread. */
final class UpstreamConnectionPool {
    /** Limit on opening a connection, which takes a few milliseconds; a dead VM does not answer at all. */
    static final int CONNECT_TIMEOUT_MILLIS = 350;

    /** Bytes read from a connection in a turn of the loop, so that endless answers do not occupy the loop. */
    private static final int READ_BYTES = 16 * 1024;

    private final RelayCodec codec;
    private final MonotonicClock clock;
    private final LoopTurnTracker turns;
    private final Bootstrap bootstrap;
    private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();
    private final Map<String, Integer> openByAddress = new HashMap<>();
    private final Events events;
    private final Consumer<AnswerAnomaly> anomalies;
    private long openedCount;

    /** Receives what the pool learns about its targets, on the traffic thread. */
    interface Events {
        /** Ignores all events; used for connections to other nodes, whose failures the requests on them handle. */
        Events IGNORED = new Events() {
            @Override
            public void onConnected(String address, int otherConnections) {
                // No state depends on it.
            }

            @Override
            public void onConnectFailed(String address) {
                // The listener of the request handles it.
            }

            @Override
            public void onBroken(String address) {
                // The listener of the request handles it.
            }

            @Override
            public void onIdleReset(String address) {
                // Says nothing about an upstream.
            }
        };

        /**
         * Called when a connection has been opened.
         *
         * @param address the target as {@code IP:port}
         * @param otherConnections connections to it that were opened before and are open still
         */
        void onConnected(String address, int otherConnections);

        /**
         * Called when a connection could not be opened.
         *
         * @param address the target as {@code IP:port}
         */
        void onConnectFailed(String address);

        /**
         * Called when a connection has been closed while a request was in progress on it, before the
         * request's listener is called.
         *
         * @param address the target as {@code IP:port}
         */
        void onBroken(String address);

        /**
         * Called when a target has reset an idle connection.
         *
         * @param address the target as {@code IP:port}
         */
        void onIdleReset(String address);
    }

    /**
     * Creates an empty pool.
     *
     * @param codec encoding of requests and answers
     * @param clock the clock
     * @param turns the turns of the traffic thread
     * @param loops event loops
     * @param loop the traffic thread
     * @param events receives what the pool learns
     * @param anomalies receives what is unusual about answers, on the traffic thread
     */
    UpstreamConnectionPool(
            RelayCodec codec,
            MonotonicClock clock,
            LoopTurnTracker turns,
            LoopResources loops,
            EventLoop loop,
            Events events,
            Consumer<AnswerAnomaly> anomalies) {
        this.events = events;
        this.anomalies = anomalies;
        this.codec = codec;
        this.clock = clock;
        this.turns = turns;
        Class<? extends Channel> type = loops.onChannelClass(SocketChannel.class, loops.onClient(true));
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(type)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
    }

    void onEvent() {
        turns.onEvent();
    }

    long openedCount() {
        return openedCount;
    }

    /**
     * Returns how many connections to an upstream are open, idle ones too.
     *
     * @param address the upstream as {@code IP:port}
     * @return the number
     */
    int openCount(String address) {
        return openByAddress.getOrDefault(address, 0);
    }

    /**
     * Takes an idle connection.
     *
     * @param address the upstream as {@code IP:port}
     * @param requestId identifier of the request to be sent
     * @return the connection, or empty if there is none for this request
     */
    Optional<UpstreamConnection> takeIdle(String address, String requestId) {
        Deque<UpstreamConnection> connections = idle.getOrDefault(address, new ArrayDeque<>());
        Deque<UpstreamConnection> passedOver = new ArrayDeque<>();
        Optional<UpstreamConnection> taken = Optional.empty();
        while (taken.isEmpty() && !connections.isEmpty()) {
            // The most recently used connection is the least likely to be closed by the upstream.
            UpstreamConnection connection = connections.pollLast();
            if (!connection.isUsable(clock.nowMillis())) {
                connection.close();
            } else if (connection.canCarry(requestId)) {
                taken = Optional.of(connection);
            } else {
                passedOver.addFirst(connection);
            }
        }
        connections.addAll(passedOver);
        return taken;
    }

    /**
     * Opens a connection.
     *
     * @param address the upstream as {@code IP:port}
     * @param callback receives the connection, or the error that prevented it; called on the traffic thread
     */
    void open(String address, BiConsumer<UpstreamConnection, Throwable> callback) {
        openedCount++;
        UpstreamConnection connection = new UpstreamConnection(codec, this, address, openedCount);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(connection.handlers());
                    }
                })
                .connect(SocketAddresses.parse(address));
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                events.onConnected(address, openByAddress.merge(address, 1, Integer::sum) - 1);
            } else {
                events.onConnectFailed(address);
            }
            callback.accept(connection, done.cause());
        });
    }

    void release(UpstreamConnection connection) {
        connection.onIdle(clock.nowMillis());
        idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>()).addLast(connection);
    }

    void onClosed(UpstreamConnection connection) {
        openByAddress.computeIfPresent(connection.address(), (address, open) -> open > 1 ? open - 1 : null);
        Deque<UpstreamConnection> connections = idle.get(connection.address());
        if (connections != null) {
            connections.remove(connection);
        }
    }

    void onAnomaly(AnswerAnomaly anomaly) {
        anomalies.accept(anomaly);
    }

    void onBroken(String address) {
        events.onBroken(address);
    }

    void onIdleReset(String address) {
        events.onIdleReset(address);
    }

    /** Closes all idle connections. */
    void closeIdle() {
        List<UpstreamConnection> all =
                idle.values().stream().flatMap(Deque::stream).toList();
        idle.clear();
        all.forEach(UpstreamConnection::close);
    }

    /**
     * Closes the idle connections to an upstream.
     *
     * @param address the upstream as {@code IP:port}
     */
    void closeIdle(String address) {
        Deque<UpstreamConnection> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(UpstreamConnection::close);
        }
    }

    /** Closes connections that have been idle for too long; called twice a second. */
    void closeExpired() {
        long nowMillis = clock.nowMillis();
        idle.values().forEach(connections -> {
            while (!connections.isEmpty() && !connections.peekFirst().isUsable(nowMillis)) {
                connections.pollFirst().close();
            }
        });
        idle.values().removeIf(Deque::isEmpty);
    }
}
