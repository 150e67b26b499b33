package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.socket.SocketChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.platform.StandInStore;
import reactor.netty.NettyPipeline;
import reactor.netty.resources.LoopResources;

/**
 * States the options of every TCP connection of a node. A TCP user timeout, which libraries may set, would decide when
 * keep-alive probes give up; the node relies on neither but on time limits of its own.
 */
final class SocketOptionsTest {
    private static final int HUBS = 10;
    private static final String ANY_REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    private final List<Socket> clients = new ArrayList<>();
    private LoopResources loops;
    private StandInStore store;
    private RelaySystem system;
    private ScriptedUpstream upstream;
    private ScriptedUpstream hub;

    /** The ends of connections that the node has. */
    private enum Peer {
        UPSTREAM,
        HUB,
        METADATA_STORE,
        CLIENT,
        READINESS_CHECK,
        LOOKUP,
        HUB_MEMBER
    }

    @AfterTry
    void tearDown() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        clients.clear();
        system.close();
        upstream.close();
        hub.close();
        store.stop();
        loops.disposeLater(Duration.ZERO, Duration.ofSeconds(10)).block();
    }

    private void start(RelaySystem.Transport transport) throws Exception {
        loops = LoopResources.create("socket-options-test", 1, true);
        store = new StandInStore(loops);
        store.put("op/config", RelaySystem.configuration(1, "\"key\""));
        upstream = new ScriptedUpstream((request, socket) -> Thread.sleep(60_000));
        hub = new ScriptedUpstream((request, socket) -> Thread.sleep(60_000));
        store.put(
                "servers/i-1",
                "{\"Service\":\"app\",\"Address\":\"%s\",\"Zone\":\"a\",\"Slots\":16,\"State\":\"ready\",\"born\":1,\"Models\":[]}"
                        .formatted(upstream.address()));
        system = new RelaySystem(transport, store).start();
        send(system.settings().listeners().readiness(), ANY_REQUEST);
        send(system.settings().listeners().lookups(), ANY_REQUEST);
        send(system.settings().listeners().cache(), ANY_REQUEST);
        send(system.settings().listeners().clients(), system.request("/read/", "r", "Content-Length: 0\r\n\r\n"));
        for (int index = 0; index < HUBS; index++) {
            RegisteredNode node = new RegisteredNode(
                    "h" + index, "127.0.0.1:9", "a", "", hub.address(), "", 1_000_000_000L + index, 0.75, false);
            String value = new String(NodeItems.encodeNode(node), StandardCharsets.UTF_8);
            store.put("cowslipbank/nodes/h" + index, value);
        }
    }

    private void send(String address, String request) throws IOException {
        InetSocketAddress to = (InetSocketAddress) SocketAddresses.parse(address);
        Socket client = new Socket(to.getAddress(), to.getPort());
        clients.add(client);
        ScriptedUpstream.write(client, request);
    }

    private Map<Integer, Peer> peersByRemotePort() {
        return Map.of(
                port(upstream.address()),
                Peer.UPSTREAM,
                port(hub.address()),
                Peer.HUB,
                store.port(),
                Peer.METADATA_STORE);
    }

    private Map<Integer, Peer> peersByLocalPort() {
        return Map.of(
                port(system.settings().listeners().clients()),
                Peer.CLIENT,
                port(system.settings().listeners().readiness()),
                Peer.READINESS_CHECK,
                port(system.settings().listeners().lookups()),
                Peer.LOOKUP,
                port(system.settings().listeners().cache()),
                Peer.HUB_MEMBER);
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private static int port(SocketAddress address) {
        return address == null ? 0 : ((InetSocketAddress) address).getPort();
    }

    /** Adds the connections that are open now to those seen before. */
    private void collect(Map<Peer, Channel> seen) {
        system.forEachChannel(channel -> {
            if (channel instanceof SocketChannel && channel.isActive()) {
                Peer peer = peersByRemotePort()
                        .getOrDefault(
                                port(channel.remoteAddress()),
                                peersByLocalPort().get(port(channel.localAddress())));
                if (peer != null) {
                    seen.put(peer, channel);
                    assertOptions(peer, channel);
                }
            }
        });
    }

    private static void assertOptions(Peer peer, Channel channel) {
        assert channel.config().getOption(ChannelOption.SO_KEEPALIVE) == Boolean.FALSE : peer;
        if (channel instanceof EpollSocketChannel) {
            assert channel.config().getOption(EpollChannelOption.TCP_USER_TIMEOUT) == 0 : peer;
        } else {
            // Java has no such option, so that it is neither set nor readable.
            assert !channel.config().getOptions().containsKey(EpollChannelOption.TCP_USER_TIMEOUT) : peer;
        }
    }

    /**
     * Failure guarded against: connections whose peers vanished without a close are kept until the node has no descriptors
     * left.
     */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void idleConnectionsToListenersExpire(@ForAll RelaySystem.Transport transport) throws Exception {
        start(transport);
        Set<Peer> expiring = EnumSet.noneOf(Peer.class);
        RelaySystem.await("answered connections are going to expire", () -> {
            Map<Peer, Channel> seen = new EnumMap<>(Peer.class);
            collect(seen);
            seen.forEach((peer, channel) -> {
                if (channel.pipeline().get(NettyPipeline.IdleTimeoutHandler) != null) {
                    expiring.add(peer);
                }
            });
            return expiring.containsAll(EnumSet.of(Peer.READINESS_CHECK, Peer.LOOKUP, Peer.HUB_MEMBER));
        });
    }

    /** Failure guarded against: a library's default decides when a connection that went silent is given up. */
    @Property(generation = GenerationMode.EXHAUSTIVE)
    void noUserTimeoutAndNoKeepAliveProbes(@ForAll RelaySystem.Transport transport) throws Exception {
        start(transport);
        Map<Peer, Channel> seen = new EnumMap<>(Peer.class);
        RelaySystem.await("a connection to each peer is open", () -> {
            collect(seen);
            return seen.size() == Peer.values().length;
        });
        boolean isNative = transport == RelaySystem.Transport.PREFERRED && Epoll.isAvailable();
        assert seen.values().stream().allMatch(channel -> channel instanceof EpollSocketChannel == isNative) : seen;
    }
}
