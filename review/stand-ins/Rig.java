import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.cowslipbank.platform.StandInStore;
import reactor.netty.resources.LoopResources;

/**
 * A small deployment on loopback: nodes as processes with the command of the deploy file, the project's stand-in of the
 * metadata store, and servers and clients written for the review. Figures are those of the site pergola-cfg.
 */
final class Rig implements AutoCloseable {
    static final String HOST = "h.example";
    static final String MODEL = "m0";
    static final String KEY = "key-of-tenant-a";
    static final int LEASE_MS = 3_000;
    static final int GRACE_S = 8;

    /** Four listeners and the internal ports of a node. */
    private static final int PORTS = 20;

    final StandInStore store;
    final List<Node> nodes = new ArrayList<>();
    private final LoopResources loops = LoopResources.create("platform", 2, true);
    private final List<StandIn> standIns = new ArrayList<>();
    private final PrintWriter record;
    private final Path directory;
    private final long startNanos = System.nanoTime();

    /** Returns whether the run contains the disruption. */
    static boolean hasTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    Rig(Path caseFolder) throws IOException {
        directory = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        store = new StandInStore(loops);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::kill)));
        log("trouble=" + hasTrouble());
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        record.println(nowMillis() + " " + line);
    }

    void startNodes(int count) throws IOException {
        for (int index = 1; index <= count; index++) {
            Node node = new Node("front-" + index, "127.0.1." + index);
            nodes.add(node);
            node.start();
        }
    }

    /** Waits until all nodes say that they are ready. */
    void awaitReady(long millis) throws InterruptedException {
        long untilMillis = nowMillis() + millis;
        for (Node node : nodes) {
            while (!node.isReady()) {
                if (nowMillis() > untilMillis) {
                    throw new IllegalStateException(node.name + " is not ready, alive " + node.process.isAlive());
                }
                Thread.sleep(50);
            }
        }
        log("nodes ready");
    }

    StandIn serve(String name, StandIn.Handler handler) throws IOException {
        StandIn standIn = new StandIn(name, handler);
        standIns.add(standIn);
        return standIn;
    }

    /** Returns the node whose name is in the leader key, or null. */
    Node leader() {
        return store.value("cowslipbank/leader")
                .map(value -> value.split("#")[0])
                .flatMap(name ->
                        nodes.stream().filter(node -> node.name.equals(name)).findFirst())
                .orElse(null);
    }

    static String configuration(long version, List<String> cacheStores) {
        StringBuilder stores = new StringBuilder();
        for (String cacheStoreAddress : cacheStores) {
            stores.append("{\"Name\":\"kv-" + stores.length() + "\",\"KvStoreAddr\":\"" + cacheStoreAddress
                        + "\",\"Zone\":\"mu-west-a\",\"KvCapacity\":123724,\"LinkMbps\":650000.0,\"MaxInFlight\":12,"
                        + "\"Managed\":true,\"first_ms\":0.5},");
        }
        return "{\"Version\":" + version + ",\"Routes\":["
                + route("design-review", "/design/", "streaming", 12_000, 800, "llm", 2, true) + ","
                + route("assist-reply", "/assist/", "streaming", 12_000, 600, "llm", 1, false) + ","
                + route("place-order", "/order/", "non_idempotent", 600, 100, "app", 1, false) + ","
                + route("catalogue-read", "/read/", "idempotent", 600, 100, "app", 2, false)
                + "],\"Services\":[" + stores
                + "{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":100,\"Protocol\":\"h1\",\"Tls\":false},"
                + "{\"Name\":\"llm\",\"HealthPath\":\"/health\",\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false,"
                + "\"Engine\":{\"Slots\":64,\"KvCapacity\":96868,\"KvTokenBytes\":163840,\"LinkMbps\":260000.0,"
                + "\"Managed\":true,\"MaxInFlight\":12,\"Models\":[{\"Name\":\"" + MODEL + "\"}]}}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
                + "\"IdleTimeoutMs\":15000},"
                + "\"Tenants\":[{\"Name\":\"tenant-a\",\"ApiKeys\":[\"" + KEY + "\"],\"Priority\":1}]}";
    }

    private static String route(
            String name,
            String prefix,
            String kind,
            int timeoutMs,
            int targetMs,
            String service,
            int attempts,
            boolean resumable) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix + "\",\"RouteKind\":\""
                + kind + "\",\"TimeoutMs\":" + timeoutMs + ",\"TargetLatencyMs\":" + targetMs
                + ",\"Priority\":1,\"Service\":\"" + service + "\",\"MaxAttempts\":" + attempts
                + ",\"Anonymous\":false,\"Sticky\":true,\"Resumable\":" + resumable + ",\"GapAimMs\":300}";
    }

    /** Registers a server as it does itself, with its weights' version if it is an engine. */
    void register(StandIn server, String service, long weights, long sequence) {
        String models = service.equals("llm")
                ? "\"Stage\":\"prefill_decode\",\"Models\":[{\"Name\":\"" + MODEL + "\",\"Version\":" + weights
                        + ",\"Adapters\":[]}],"
                : "";
        store.put(
                "servers/" + server.id,
                "{\"Service\":\"" + service + "\",\"Address\":\"" + server.address()
                        + "\",\"Zone\":\"mu-west-a\",\"Version\":\"v1\",\"Slots\":" + (service.equals("llm") ? 64 : 6)
                        + ",\"State\":\"ready\",\"ColdRemainingMs\":0," + models + "\"born\":" + server.bornMillis
                        + ",\"Sequence\":" + sequence + "}");
    }

    /** Finds consecutive free ports below the range from which outgoing channels take theirs. */
    private static int freePorts(String ip, int count) throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int first = 12_000 + ThreadLocalRandom.current().nextInt(18_000);
            if (IntStream.range(first, first + count).allMatch(port -> isFree(ip, port))) {
                return first;
            }
        }
        throw new IOException("found no " + count + " consecutive free ports");
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        nodes.forEach(Node::kill);
        standIns.forEach(StandIn::stop);
        store.stop();
        record.close();
    }

    /** A node in a process of its own. */
    final class Node {
        final String name;
        final String ip;
        final String front;
        final String ready;
        final String lookup;
        private final Path settings;
        private final int metricsPort;
        Process process;

        Node(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            int first = freePorts(ip, PORTS);
            this.front = ip + ":" + first;
            this.ready = ip + ":" + (first + 1);
            this.lookup = ip + ":" + (first + 2);
            metricsPort = first + 3;
            int internal = first + 4;
            settings = directory.resolve(name + ".json");
            Files.writeString(
                    settings,
                    "{\"NodeName\":\"" + name + "\",\"Role\":\"relay\",\"MachineClass\":\"front\",\"Ip\":\"" + ip
                            + "\",\"Zone\":\"mu-west-a\",\"Region\":\"mu-west\",\"Zones\":{\"mu-west-a\":\"mu-west\"},"
                            + "\"Listen\":{\"Front\":\"" + front + "\",\"Ready\":\"" + ready + "\",\"Directory\":\""
                            + lookup + "\"},\"InternalPorts\":[" + internal + "," + (internal + 15) + "],"
                            + "\"Bootstrap\":true,\"Limits\":{\"CpuShare\":0.75,\"CpuCores\":1,\"MemoryMb\":430,"
                            + "\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0},\"DataDir\":null,"
                            + "\"HeartbeatMs\":1200,\"Bounds\":{\"SeedLagS\":3,\"AddrReuseS\":2,\"ContactMs\":3000,"
                            + "\"DrainMs\":2000,\"GraceS\":" + GRACE_S + ",\"LossSlackMs\":200,\"ConfigApplyMs\":2000,"
                            + "\"RevokeStrict\":true,\"RevokeMs\":5000,\"RetryBudgetRatio\":0.2,\"BudgetWindowS\":10,"
                            + "\"BudgetSlack\":54,\"RecoverS\":12,\"TransitMs\":120,\"FencingRequired\":false,"
                            + "\"LeaseMs\":" + LEASE_MS + ",\"ThawSlackMs\":300,\"VersionMs\":6000,"
                            + "\"VersionAllMs\":8400,\"ttl_max_s\":5},\"Platform\":{\"Address\":\"127.0.0.1:"
                            + store.port() + "\",\"form\":\"kv\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
                            + "\"HistoryS\":20,\"ValueBytes\":1048576,\"TtlMinMs\":1000}}");
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>();
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = \"")) {
                    command.addAll(List.of(line.substring(7, line.length() - 1).split(" ")));
                }
            }
            int metrics = command.indexOf("--metrics-port");
            command.set(metrics + 1, Integer.toString(metricsPort));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("COWSLIPBANK_NODE_FILE", settings.toString());
            File output = directory.resolve(name + ".log").toFile();
            process = builder.redirectErrorStream(true).redirectOutput(output).start();
            log("start " + name + " pid " + process.pid());
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(StandIn.socketAddress(ready), 1_000);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(("GET /api/readiness HTTP/1.1\r\nHost: " + ready + "\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                byte[] start = socket.getInputStream().readNBytes(12);
                return new String(start, StandardCharsets.US_ASCII).endsWith(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String signal) throws IOException, InterruptedException {
            log("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** One client channel that is kept for many requests. */
    static final class Channel implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;

        /** The API key that its requests bear. */
        String key = KEY;

        Channel(String address) throws IOException {
            socket.connect(StandIn.socketAddress(address), 1_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String path, String id, int deadlineMs, String moreHeaders) throws IOException {
            sendHead(path, id, deadlineMs, moreHeaders, 4);
            StandIn.write(socket.getOutputStream(), "body");
        }

        void sendHead(String path, String id, int deadlineMs, String moreHeaders, int bodyBytes) throws IOException {
            StandIn.write(
                    socket.getOutputStream(),
                    "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                            + deadlineMs + "\r\nAuthorization: Bearer " + key + "\r\n" + moreHeaders
                            + "Content-Length: " + bodyBytes + "\r\n\r\n");
        }

        /** Reads one answer to its end; throws an IOException if the channel ends before. */
        Answer read(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            String[] status = StandIn.line(in).split(" ");
            Map<String, String> headers = StandIn.headers(in);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equals(headers.get("transfer-encoding"))) {
                int size = Integer.parseInt(StandIn.line(in).trim(), 16);
                while (size > 0) {
                    body.write(StandIn.exactly(in, size));
                    StandIn.line(in);
                    size = Integer.parseInt(StandIn.line(in).trim(), 16);
                }
                StandIn.line(in);
            } else {
                body.write(StandIn.exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
            }
            return new Answer(Integer.parseInt(status[1]), headers, body.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** An answer that was read to its end. */
    record Answer(int status, Map<String, String> headers, String body) {}
}
