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
import org.cowslipbank.decision.relay.FleetTree;
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
 * Tells other nodes what this one has in flight at engines, in small datagrams along a {@link FleetTree}; a lost one is
 * replaced by the next. Runs on the traffic thread.
 */
final class LoadDigests {
    /** Time between two rounds; a long prompt is read within 50 to 200 ms, and control may take 2 KB a second. */
    static final long ROUND_MILLIS = 180;

    /** Upstreams in a datagram; an entry takes 17 bytes at most, and a datagram is not split below 1,400. */
    static final int MAX_ENTRIES = 80;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private final RegisteredNode self;
    private final Supplier<PlatformView> view;
    private final UpstreamLoads own;
    private final FleetLoads others;
    private final Clocks clocks;
    private final DecisionLog log;
    private Channel channel;
    private boolean wasIdle;

    /** A digest on the wire: an array, with a hash of the sender's name. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"scope", "node", "part", "work"})
    record Message(FleetLoads.Scope scope, int node, int part, List<Entry> work) {}

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
        others.expire(clocks.nowMillis());
        PlatformView now = view.get();
        Map<Integer, FleetLoads.Load> work = work(now);
        FleetTree current = now.tree();
        boolean hub = current.isHub(self.name());
        Map<Integer, FleetLoads.Load> group = hub ? others.group(work) : work;
        boolean idle = hub ? others.total(work).isEmpty() : work.isEmpty();
        // An idle node says so once; its last digest then runs out.
        if (idle && wasIdle) {
            return;
        }
        wasIdle = idle;
        if (hub) {
            current.otherHubs(self.name()).forEach(name -> send(now, name, FleetLoads.Scope.GROUP, group));
            current.members(self.name()).forEach(name -> {
                Map<Integer, FleetLoads.Load> told = others.othersOf(work, FleetLoads.shortHash(name));
                send(now, name, FleetLoads.Scope.OTHERS, told);
            });
        } else {
            send(now, current.hubOf(self.name()), FleetLoads.Scope.NODE, work);
        }
        channel.flush();
    }

    private Map<Integer, FleetLoads.Load> work(PlatformView now) {
        Map<Integer, FleetLoads.Load> work = new HashMap<>();
        for (UpstreamServer server : now.servers().values()) {
            FleetLoads.Load load = own.inFlight(server.incarnation());
            if (load.requests() > 0) {
                work.merge(FleetLoads.shortHash(server.id()), load, FleetLoads.Load::plus);
            }
        }
        return work;
    }

    private void send(PlatformView now, String name, FleetLoads.Scope scope, Map<Integer, FleetLoads.Load> work) {
        RegisteredNode node = now.nodes().get(name);
        if (node == null || name.equals(self.name()) || node.digestAddress().isEmpty()) {
            return;
        }
        // The number of parts follows the number of known upstreams, so that an upstream mostly stays in its part.
        int parts = 1 + now.servers().size() / MAX_ENTRIES;
        List<List<Entry>> entries = new ArrayList<>();
        for (int part = 0; part < parts; part++) {
            entries.add(new ArrayList<>());
        }
        work.forEach((server, load) -> entries.get(Math.floorMod(server, parts))
                .add(new Entry(server, load.requests(), load.tokens(), load.unreadTokens())));
        for (int part = 0; part < parts; part++) {
            Message message = new Message(scope, FleetLoads.shortHash(self.name()), part, entries.get(part));
            ByteBuf content = Unpooled.wrappedBuffer(encode(message));
            channel.write(new DatagramPacket(content, SocketAddresses.of(node.digestAddress())), channel.voidPromise());
        }
    }

    private void onPacket(DatagramPacket packet) {
        try {
            Message message = MAPPER.readValue(ByteBufUtil.getBytes(packet.content()), Message.class);
            if (message == null || message.scope() == null || message.work() == null) {
                throw new IOException("scope or work is missing");
            }
            Map<Integer, FleetLoads.Load> byServer = new HashMap<>();
            message.work()
                    .forEach(entry -> byServer.put(
                            entry.server(),
                            new FleetLoads.Load(entry.requests(), entry.tokens(), entry.unreadTokens())));
            others.onDigest(
                    new FleetLoads.Source(message.scope(), message.node(), message.part()),
                    byServer,
                    clocks.nowMillis());
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
