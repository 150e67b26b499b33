import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of a server. Paths that begin with {@code /stream/} are answered as streams of numbered events, of which each names
 * the software version and the run; all others as plain requests.
 */
final class Server {
    private static final AtomicLong RUNS = new AtomicLong();

    static final String UNFRAMED_BODY = "0123456789".repeat(200) + "end";

    /** Receives what a server runs. */
    interface Observer {
        void onRun(Server server, String requestId, String run, Http.Message request);
    }

    final String id;
    private final String service;
    private final MetadataStore store;
    private final Observer observer;
    private final Http http;
    private volatile Transfers transfers;
    private final AtomicInteger running = new AtomicInteger();
    private volatile String softwareVersion;
    private volatile String registeredAddress;
    private volatile long bornMillis = System.currentTimeMillis();
    private volatile long life;
    private long sequence;

    Server(String id, String service, String softwareVersion, MetadataStore store, Observer observer)
            throws IOException {
        this.id = id;
        this.service = service;
        this.softwareVersion = softwareVersion;
        this.store = store;
        this.observer = observer;
        this.http = new Http("127.0.0.1", 0, this::answer);
        this.registeredAddress = http.address();
    }

    /** Lets the engine fetch and save parts of prompts. */
    void use(Transfers engineTransfers) {
        transfers = engineTransfers;
    }

    String softwareVersion() {
        return softwareVersion;
    }

    /** Sets the address that the server registers, where it is reached over a link. */
    void reachedAt(String address) {
        registeredAddress = address;
    }

    int port() {
        return http.port();
    }

    /** Writes the server's entry, as with each heartbeat. */
    synchronized void register() {
        sequence++;
        Map<String, Object> entry = Json.map(
                "Service", service,
                "Address", registeredAddress,
                "Zone", "a",
                "Version", softwareVersion,
                "Slots", 64,
                "State", "ready",
                "ColdRemainingMs", 0,
                "Sequence", sequence,
                "born", bornMillis);
        if (service.equals("llm")) {
            entry.put("Stage", "prefill_decode");
            entry.put("Models", List.of(Json.map("Name", "m", "Version", 1, "Adapters", List.of())));
        }
        store.put("servers/" + id, entry);
    }

    /** Writes the entry once in a heartbeat interval, for this lifetime. The first beat comes after a given time. */
    void beat(long firstMillis, long intervalMillis) {
        long begun = life;
        Http.daemon(() -> {
            Thread.sleep(firstMillis);
            while (life == begun) {
                register();
                Thread.sleep(intervalMillis);
            }
        });
    }

    /** Ends the process of the server. */
    void kill() throws IOException {
        life++;
        http.kill();
    }

    /** Starts the server again under its identifier and at its address; its counts start anew. */
    void startAgain(String version) throws IOException {
        life++;
        softwareVersion = version;
        bornMillis = System.currentTimeMillis();
        sequence = 0;
        http.startAgain();
    }

    private void answer(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String requestId = request.header("X-Request-Id", "");
        String head = "X-Request-Id: " + requestId + "\r\n";
        String expected = request.header("X-Expect-Instance", id);
        if (request.path().equals("/api/report")) {
            Http.writeJson(
                    out,
                    200,
                    "",
                    Json.map(
                            "Stage", "prefill_decode",
                            "Models", List.of(Json.map("Name", "m", "Version", 1, "Adapters", List.of())),
                            "Busy", false,
                            "Sequence", 0,
                            "Queued", 0,
                            "Running", running.get(),
                            "KvUsed", 0,
                            "KvTotal", 100_000,
                            "Handles", 0,
                            "State", "ready",
                            "born", bornMillis));
            return;
        }
        if (!expected.equals(id)) {
            Http.write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" + head, new byte[0]);
            return;
        }
        String run = id + "." + RUNS.incrementAndGet();
        observer.onRun(this, requestId, run, request);
        head += "X-Server-Stamp: " + run + "\r\n";
        running.incrementAndGet();
        try {
            if (request.path().startsWith("/stream/")) {
                stream(request, out, head, run);
            } else if (request.path().endsWith("/unframed")) {
                unframed(socket, out, head);
            } else {
                Http.write(out, "HTTP/1.1 200 OK\r\n" + head, ("done " + requestId).getBytes());
            }
        } finally {
            running.decrementAndGet();
        }
    }

    /** Answers without a length or chunks: half of the body at once, the rest a second later, then the channel ends. */
    private static void unframed(Socket socket, OutputStream out, String head) throws Exception {
        out.write(("HTTP/1.1 200 OK\r\n" + head + "Connection: close\r\n\r\n" + UNFRAMED_BODY.substring(0, 1_000)).getBytes());
        out.flush();
        Thread.sleep(1_000);
        out.write(UNFRAMED_BODY.substring(1_000).getBytes());
        out.flush();
        socket.close();
    }

    /** Sends the events behind the last one that the request names; the path ends with their number and the interval. */
    private void stream(Http.Message request, OutputStream out, String head, String run) throws Exception {
        String[] path = request.path().split("/");
        int events = Integer.parseInt(path[path.length - 2]);
        int intervalMillis = Integer.parseInt(path[path.length - 1]);
        String version = softwareVersion;
        long begun = life;
        if (transfers != null) {
            transfers.readPrompt(request, ThreadLocalRandom.current().nextLong(20, 400));
        }
        out.write(("HTTP/1.1 200 OK\r\n" + head + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes());
        out.flush();
        for (int event = 1 + Integer.parseInt(request.header("Last-Event-Id", "0")); event <= events; event++) {
            Thread.sleep(intervalMillis);
            if (life != begun) {
                throw new IOException("server was killed");
            }
            Http.writeChunk(out, "id: " + event + "\ndata: " + version + " " + run + "\n\n");
        }
        out.write("0\r\n\r\n".getBytes());
        out.flush();
    }
}
