package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import org.cowslipbank.decision.relay.FleetLoads;
import org.cowslipbank.decision.relay.UpstreamLoads;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.model.relay.UpstreamServer;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import reactor.netty.resources.LoopResources;

/**
 * Tells other nodes what this one has in flight at engines, in small datagrams; a lost one is replaced by the next. Each
 * round goes to a few nodes in turn, so that the cost of a node does not grow with the fleet. Runs on the traffic
 * thread.
 */
final class LoadDigests {
    /** Time between two rounds; a long prompt is read within 50 to 200 ms, and control may take 2 KB a second. */
    static final long ROUND_MILLIS = 180;

    /** Nodes told in a round: all of them in a fleet of today's size. */
    static final int NODES_PER_ROUND = 8;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private final RegisteredNode self;
    private final Supplier<PlatformView> view;
    private final UpstreamLoads own;
    private final FleetLoads others;
    private final Clocks clocks;
    private final DecisionLog log;
    private Channel channel;
    private int turn;
    private boolean wasIdle;

    /** A digest on the wire: an array, with a hash of the node's name. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"node", "work"})
    record Message(int node, List<Entry> work) {}

    /** Work at one upstream on the wire: an array, with a hash of the upstream's identifier. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"server", "requests", "tokens", "unreadTokens"})
    record Entry(int server, int requests, long tokens, long unreadTokens) {}

    LoadDigests(
            RegisteredNode self,
            Supplier<PlatformView> view,
            UpstreamLoads own,
            FleetLoads others,
            Clocks clocks,
            DecisionLog log) {
        this.self = self;
        this.view = view;
        this.own = own;
        this.others = others;
        this.clocks = clocks;
        this.log = log;
    }

    void listen(LoopResources loops, EventLoop loop) throws PeerException {
        Class<? extends Channel> type = loops.onChannelClass(DatagramChannel.class, loops.onServer(true));
        try {
            channel = new Bootstrap()
                    .group(loop)
                    .channel(type)
                    .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                            onPacket(packet);
                        }

                        @Override
                        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                            // An unreachable node answers with an error that belongs to no later datagram.
                            log.request(LogFields.event("digest not sent").error(cause));
                        }
                    })
                    .bind(SocketAddresses.of(self.digestAddress()))
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PeerException(Step.SETTINGS, self.digestAddress(), RunState.NOT_RUN, "interrupted", e);
        }
        loop.scheduleAtFixedRate(this::round, ROUND_MILLIS, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void round() {
        long rounds = Math.max(1, view.get().nodes().size() / NODES_PER_ROUND);
        others.expire(clocks.nowMillis(), rounds * ROUND_MILLIS);
        PlatformView now = view.get();
        List<Entry> work = work(now);
        boolean idle = work.isEmpty();
        // An idle node says so once; its last digest then runs out.
        if (idle && wasIdle) {
            return;
        }
        wasIdle = idle;
        List<RegisteredNode> nodes = new ArrayList<>(now.nodes().values());
        nodes.removeIf(
                node -> node.name().equals(self.name()) || node.digestAddress().isEmpty());
        if (nodes.isEmpty()) {
            return;
        }
        byte[] message = encode(new Message(FleetLoads.shortHash(self.name()), work));
        for (int sent = 0; sent < Math.min(NODES_PER_ROUND, nodes.size()); sent++) {
            RegisteredNode node = nodes.get(Math.floorMod(turn++, nodes.size()));
            ByteBuf content = Unpooled.wrappedBuffer(message);
            channel.write(new DatagramPacket(content, SocketAddresses.of(node.digestAddress())), channel.voidPromise());
        }
        channel.flush();
    }

    private List<Entry> work(PlatformView now) {
        List<Entry> work = new ArrayList<>();
        for (UpstreamServer server : now.servers().values()) {
            FleetLoads.Load load = own.inFlight(server.incarnation());
            if (load.requests() > 0) {
                work.add(new Entry(
                        FleetLoads.shortHash(server.id()), load.requests(), load.tokens(), load.unreadTokens()));
            }
        }
        return work;
    }

    private void onPacket(DatagramPacket packet) {
        try {
            Message message = MAPPER.readValue(ByteBufUtil.getBytes(packet.content()), Message.class);
            Map<Integer, FleetLoads.Load> byServer = new HashMap<>();
            message.work()
                    .forEach(entry -> byServer.put(
                            entry.server(),
                            new FleetLoads.Load(entry.requests(), entry.tokens(), entry.unreadTokens())));
            others.onDigest(message.node(), byServer, clocks.nowMillis());
        } catch (IOException e) {
            log.request(LogFields.event("digest not readable")
                    .peer(String.valueOf(packet.sender()))
                    .error(e));
        }
    }

    private static byte[] encode(Message message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("a digest cannot be written", e);
        }
    }
}
