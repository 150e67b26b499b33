import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: the engines of a service are replaced one after the other by a new software version, each under its identifier and at
 * its address. A stream must not hold events of two versions.
 */
public final class InPlaceRelease {
    private static final int NODES = 3;
    private static final int ENGINES = 7;
    private static final int REPLACED = 3;
    private static final int CLIENTS = 175;
    private static final int EVENTS = 60;
    private static final int INTERVAL_MILLIS = 50;
    private static final long HEARTBEAT_MILLIS = 1_200;
    /** Time from the start of an engine to its first entry; heartbeats come about every HEARTBEAT_MILLIS. */
    private static final long FIRST_BEAT_MILLIS = HEARTBEAT_MILLIS;

    private static final long DOWN_MILLIS = 300;
    private static final long GAP_MILLIS = 1_300;
    private static final int ALLOWED_STREAMS = 2;

    private InPlaceRelease() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, InPlaceRelease::run);
    }

    private static int run(boolean trouble, Record record, Nodes nodes) throws Exception {
        MetadataStore store = new MetadataStore(1);
        store.put("op/config", Configuration.of(1, Map.of("t1", List.of("key-1"))));
        List<Server> engines = new ArrayList<>();
        for (int index = 0; index < ENGINES; index++) {
            Server engine = new Server("i-engine-" + index, "llm", "v1", store, (server, id, run, request) ->
                    record.add("run " + run + " at " + server.softwareVersion() + " of request " + id + " behind event "
                            + request.header("Last-Event-Id", "0")));
            engines.add(engine);
            engine.beat(0, HEARTBEAT_MILLIS);
        }
        for (int node = 0; node < NODES; node++) {
            nodes.start(node, store.address(), Nodes.usualBounds());
        }
        for (int node = 0; node < NODES; node++) {
            nodes.awaitReady(node, 20_000);
        }
        // Nodes record the software version before they begin streams.
        Thread.sleep(3_000);
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger whole = new AtomicInteger();
        Map<String, Set<String>> versionsByStream = new ConcurrentHashMap<>();
        AtomicInteger numbers = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            int node = index % NODES;
            clients.add(Http.daemon(() -> {
                while (!stopped.get()) {
                    String id = String.format("%016x", numbers.incrementAndGet());
                    if (read(nodes, node, id, record, versionsByStream)) {
                        whole.incrementAndGet();
                    } else {
                        Thread.sleep(100);
                    }
                }
            }));
            Thread.sleep(20);
        }
        Thread.sleep(3_000);
        if (trouble) {
            for (Server engine : engines.subList(0, REPLACED)) {
                long begun = System.currentTimeMillis();
                engine.kill();
                record.add("engine " + engine.id + " ended");
                Thread.sleep(DOWN_MILLIS);
                engine.startAgain("v2");
                record.add("engine " + engine.id + " started again with software version v2");
                engine.beat(FIRST_BEAT_MILLIS, HEARTBEAT_MILLIS);
                Thread.sleep(Math.max(0, begun + GAP_MILLIS - System.currentTimeMillis()));
            }
        }
        Thread.sleep(8_000);
        stopped.set(true);
        for (Thread client : clients) {
            client.join(10_000);
        }
        List<String> mixed = versionsByStream.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1)
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        record.add(whole.get() + " whole streams, " + versionsByStream.size() + " with events; with two versions: " + mixed);
        System.out.println(whole.get() + " whole streams; " + mixed.size() + " with events of two software versions");
        if (whole.get() < CLIENTS) {
            record.add("too few streams were whole");
            return 2;
        }
        return mixed.size() > ALLOWED_STREAMS ? 1 : 0;
    }

    /** Reads one stream; returns whether its answer was complete. */
    private static boolean read(
            Nodes nodes, int node, String id, Record record, Map<String, Set<String>> versionsByStream)
            throws InterruptedException {
        String prefix = "a" + id.substring(14) + ":200,b" + id + ":40";
        String head = "POST /stream/" + EVENTS + "/" + INTERVAL_MILLIS + " HTTP/1.1\r\nHost: " + Configuration.HOST
                + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\n"
                + "X-Model: m\r\nX-Token-Usage: 240," + EVENTS + "\r\nX-Prefix-Hash: " + prefix
                + "\r\nContent-Length: 0\r\n\r\n";
        int last = 0;
        try (Socket socket = new Socket(nodes.ip(node), nodes.front())) {
            socket.setSoTimeout(4_000);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            if (answer == null || answer.status() != 200) {
                record.add("request " + id + " got " + (answer == null ? "no answer" : answer.firstLine()));
                return false;
            }
            StringBuilder body = new StringBuilder();
            byte[] chunk = Http.readChunk(in);
            while (chunk != null) {
                body.append(new String(chunk, StandardCharsets.UTF_8));
                int end = body.indexOf("\n\n");
                while (end >= 0) {
                    String[] lines = body.substring(0, end).split("\n");
                    last = Integer.parseInt(lines[0].substring("id: ".length()));
                    String[] data = lines[1].substring("data: ".length()).split(" ");
                    Set<String> versions = versionsByStream.computeIfAbsent(id, key -> new TreeSet<>());
                    if (versions.add(data[0])) {
                        record.add("request " + id + " got event " + last + " of version " + data[0] + ", run " + data[1]);
                    }
                    body.delete(0, end + 2);
                    end = body.indexOf("\n\n");
                }
                chunk = Http.readChunk(in);
            }
            record.add("request " + id + " ended whole at event " + last);
            return last == EVENTS;
        } catch (java.io.IOException e) {
            record.add("request " + id + " broke off behind event " + last + ": " + e);
            return false;
        }
    }
}
