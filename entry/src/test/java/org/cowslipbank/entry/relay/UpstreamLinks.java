package org.cowslipbank.entry.relay;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

/** The links of one node to all upstreams: proxies on loopback that can be cut and mended together. */
final class UpstreamLinks implements Closeable {
    /** How the links behave. */
    enum Mode {
        /** They work. */
        SOUND,
        /** Connections hang, and new ones are not established. */
        SILENT,
        /** Connections are reset and new ones refused. */
        RESET,
        /** Connections go on, and new ones are refused. */
        REFUSE
    }

    private static final Pattern ADDRESS =
            Pattern.compile(Pattern.quote(TestLoopback.address().getHostAddress()) + ":([0-9]+)");
    private static final int CONNECT_MILLIS = 100;
    private static final int BIND_TRIES = 100;
    private static final int BIND_RETRY_MILLIS = 10;

    private final Map<Integer, Link> links = new ConcurrentHashMap<>();
    private volatile Mode mode = Mode.SOUND;

    /** Changes the behaviour of all links. */
    void set(Mode next) throws IOException {
        mode = next;
        for (Link link : links.values()) {
            link.apply();
        }
    }

    /** Returns a view of a metadata store in which registered upstreams have the addresses of these links. */
    MetadataStore seenIn(MetadataStore store) {
        return new MetadataStore() {
            @Override
            public Mono<Range> range(String prefix) {
                return store.range(prefix)
                        .map(range -> new Range(translate(range.items()), range.revision(), range.era()));
            }

            @Override
            public Mono<Optional<Changes>> watch(String prefix, long afterRevision, long waitMillis, long maxBytes) {
                return store.watch(prefix, afterRevision, waitMillis, maxBytes)
                        .map(found ->
                                found.map(changes -> new Changes(translate(changes.items()), changes.revision())));
            }

            @Override
            public Mono<Optional<Long>> writeIf(Write write, Map<String, Long> expectedRevisions) {
                return store.writeIf(write, expectedRevisions);
            }

            @Override
            public Mono<Optional<Long>> write(Write write) {
                return store.write(write);
            }

            @Override
            public Mono<Boolean> removeIf(String key, long expectedRevision) {
                return store.removeIf(key, expectedRevision);
            }

            @Override
            public Mono<Lease> grantLease(long ttlMillis) {
                return store.grantLease(ttlMillis);
            }

            @Override
            public Mono<Optional<Long>> renewLease(long lease) {
                return store.renewLease(lease);
            }

            @Override
            public Mono<Void> endLease(long lease) {
                return store.endLease(lease);
            }
        };
    }

    /** Returns whether a connection that an upstream has accepted comes through one of these links. */
    boolean carry(Socket accepted) {
        return links.values().stream()
                .flatMap(link -> link.sockets.stream())
                .anyMatch(socket ->
                        socket.getLocalPort() == accepted.getPort() && socket.getPort() == accepted.getLocalPort());
    }

    private List<StoreItem> translate(List<StoreItem> items) {
        return items.stream()
                .map(item -> item.key().startsWith("servers/") && item.value() != null
                        ? new StoreItem(
                                item.key(),
                                translate(new String(item.value(), StandardCharsets.UTF_8))
                                        .getBytes(StandardCharsets.UTF_8),
                                item.revision(),
                                item.createRevision(),
                                item.lease())
                        : item)
                .toList();
    }

    private String translate(String registration) {
        Matcher matcher = ADDRESS.matcher(registration);
        return matcher.replaceAll(found ->
                TestLoopback.withPort(links.computeIfAbsent(Integer.parseInt(found.group(1)), this::open).port));
    }

    private Link open(int upstreamPort) {
        try {
            return new Link(upstreamPort);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        for (Link link : links.values()) {
            link.close();
        }
    }

    /** The link to one upstream. */
    private final class Link implements Closeable {
        private final int upstreamPort;
        private final int port;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        /** Connections that fill the queue of a listener which accepts none, so that further ones hang. */
        private final List<Socket> fillers = new CopyOnWriteArrayList<>();

        private ServerSocket listener;
        private Optional<Thread> accepting = Optional.empty();

        Link(int upstreamPort) throws IOException {
            this.upstreamPort = upstreamPort;
            this.port = RelaySystem.freeTcpPort();
            apply();
        }

        synchronized void apply() throws IOException {
            stopListening();
            for (Socket filler : fillers) {
                filler.close();
            }
            fillers.clear();
            if (mode == Mode.RESET) {
                for (Socket socket : sockets) {
                    reset(socket);
                }
                sockets.clear();
            }
            if (mode == Mode.SOUND) {
                listener = listen(50);
                accepting = Optional.of(accept(listener));
            }
            if (mode == Mode.SILENT) {
                listener = listen(1);
                fill();
            }
        }

        // The system goes on accepting, and the port is not free, until the thread has seen the close.
        private void stopListening() throws IOException {
            if (listener != null) {
                listener.close();
            }
            if (accepting.isPresent()) {
                try {
                    accepting.get().join();
                } catch (InterruptedException e) {
                    throw new InterruptedIOException();
                }
                accepting = Optional.empty();
            }
        }

        private ServerSocket listen(int backlog) throws IOException {
            for (int tries = 0; tries < BIND_TRIES; tries++) {
                try {
                    return new ServerSocket(port, backlog, TestLoopback.address());
                } catch (BindException e) {
                    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(BIND_RETRY_MILLIS));
                }
            }
            throw new BindException("port " + port + " is in use");
        }

        private static void reset(Socket socket) {
            try {
                ScriptedUpstream.reset(socket);
            } catch (IOException e) {
                // The node has closed this connection before.
                return;
            }
        }

        private void fill() throws IOException {
            boolean hangs = false;
            while (!hangs) {
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(new InetSocketAddress(TestLoopback.address(), port), CONNECT_MILLIS);
                } catch (IOException e) {
                    // The queue is full: this is what the node will see.
                    hangs = true;
                }
            }
        }

        private Thread accept(ServerSocket server) {
            return daemon(() -> {
                while (true) {
                    Socket near = server.accept();
                    Optional<Socket> connected = connectUpstream();
                    if (connected.isEmpty()) {
                        reset(near);
                        continue;
                    }
                    Socket far = connected.get();
                    sockets.add(near);
                    sockets.add(far);
                    if (mode == Mode.RESET) {
                        // Accepted while the link was being cut.
                        reset(near);
                        reset(far);
                    }
                    daemon(() -> copy(near, far));
                    daemon(() -> copy(far, near));
                }
            });
        }

        private Optional<Socket> connectUpstream() {
            try {
                return Optional.of(new Socket(TestLoopback.address(), upstreamPort));
            } catch (IOException e) {
                // The upstream has ended.
                return Optional.empty();
            }
        }

        private void copy(Socket from, Socket to) throws IOException {
            try (from;
                    to) {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                byte[] buffer = new byte[4_096];
                int length;
                while ((length = in.read(buffer)) >= 0) {
                    if (mode != Mode.SILENT) {
                        out.write(buffer, 0, length);
                        out.flush();
                    }
                }
            }
        }

        @Override
        public void close() throws IOException {
            if (listener != null) {
                listener.close();
            }
            for (Socket socket : sockets) {
                socket.close();
            }
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** Work of a thread of a link; it ends with the sockets that it uses. */
    private interface SocketWork {
        void run() throws IOException;
    }

    private static Thread daemon(SocketWork work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        // The link was cut or closed by the test.
                        return;
                    }
                },
                "upstream-link");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
