package org.cowslipbank.entry.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.relay.ClientLimits;
import reactor.netty.resources.LoopResources;

/** HTTP server for clients, or for nodes that pass on requests of their clients. Owned by the traffic thread. */
final class ClientHttpServer {
    // Clients reconnect in bursts when another node has failed or left.
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int MAX_CHUNK_BYTES = 65_536;
    // Reads of one connection before the others are read.
    private static final int MAX_READS_PER_TURN = 16;
    // Used until the first configuration is known.
    private static final ClientLimits DEFAULT_LIMITS = new ClientLimits(16_384, 4L << 20, 5_000, 30_000);

    // A request that another node passes on has headers of its own beside those of the client.
    private static final int FORWARDING_HEADER_BYTES = 2_048;

    /** Who sends requests to a server. */
    enum Callers {
        /** Clients. */
        CLIENTS,
        /** Other nodes, which pass on requests of their clients. */
        NODES
    }

    private final RelayContext context;
    private final Callers callers;
    private final Set<ClientConnection> connections = new HashSet<>();
    private Channel listener;
    private volatile boolean draining;
    private boolean closing;

    /**
     * Creates a server.
     *
     * @param context the node's shared state
     * @param callers who sends the requests
     */
    ClientHttpServer(RelayContext context, Callers callers) {
        this.context = context;
        this.callers = callers;
    }

    boolean servesNodes() {
        return callers == Callers.NODES;
    }

    void listen(String address, LoopResources loops, EventLoop loop) throws PeerException {
        Class<? extends ServerChannel> type = loops.onChannelClass(ServerSocketChannel.class, loops.onServer(true));
        try {
            listener = new ServerBootstrap()
                    .group(loop)
                    .channel(type)
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    // Requests of connections that wait to be accepted would lie unread for several turns of the loop.
                    .option(
                            ChannelOption.RCVBUF_ALLOCATOR,
                            new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPT_BACKLOG))
                    // Not every transport reports a close together with the bytes before it, so read up to it.
                    .childOption(
                            ChannelOption.RCVBUF_ALLOCATOR,
                            new AdaptiveRecvByteBufAllocator()
                                    .respectMaybeMoreData(false)
                                    .maxMessagesPerRead(MAX_READS_PER_TURN))
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ClientOutput.WATER_MARK)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            int headBytes = limits().maxHeaderBytes() + (servesNodes() ? FORWARDING_HEADER_BYTES : 0);
                            StrictRequestDecoder decoder = new StrictRequestDecoder(headBytes, MAX_CHUNK_BYTES);
                            channel.pipeline()
                                    .addLast(new HttpResponseEncoder())
                                    .addLast(decoder)
                                    .addLast(new ClientConnection(ClientHttpServer.this, decoder, context));
                        }
                    })
                    .bind(SocketAddresses.parse(address))
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PeerException(ProcessingStep.SETTINGS, address, RunState.NOT_RUN, "interrupted", e);
        }
    }

    ClientLimits limits() {
        return context.view()
                .get()
                .routes()
                .map(routes -> routes.configuration().limits())
                .orElse(DEFAULT_LIMITS);
    }

    boolean isDraining() {
        return draining;
    }

    /** Starts draining: from now on each connection is closed after its next answer. */
    void startDraining() {
        draining = true;
    }

    int busyConnections() {
        return (int) connections.stream().filter(ClientConnection::isBusy).count();
    }

    void closeExpired() {
        List.copyOf(connections).forEach(ClientConnection::closeIfExpired);
    }

    /**
     * Returns whether the node has stopped listening because clients know by now that it stops.
     *
     * @return true after {@link #closeIdle}
     */
    boolean isClosing() {
        return closing;
    }

    /** Stops listening, and closes the connections without a request in progress. */
    void closeIdle() {
        closing = true;
        listener.close();
        List.copyOf(connections).stream()
                .filter(connection -> !connection.isBusy())
                .forEach(ClientConnection::close);
    }

    /** Answers the requests without an answer that the node has no time to wait for. */
    void answerUnfinished() {
        List.copyOf(connections).forEach(ClientConnection::answerUnfinished);
    }

    void onOpened(ClientConnection connection) {
        connections.add(connection);
    }

    void onClosed(ClientConnection connection) {
        connections.remove(connection);
    }
}
