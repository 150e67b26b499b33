import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a store of KV cache goes dark for less than a second and returns empty. No request may take memory from a part that is
 * still being written there.
 */
public final class DarkCacheStore {
    private static final int NODES = 5;
    private static final int ENGINES = 6;
    private static final int CLIENTS = 80;
    private static final int DOCUMENTS = 8;
    private static final long JOIN_MILLIS = 1_300;
    private static final int OUTAGES = 10;
    private static final long DARK_MILLIS = 700;
    private static final long PAUSE_MILLIS = 6_500;

    private DarkCacheStore() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, DarkCacheStore::run);
    }

    private static int run(boolean trouble, Record record, Nodes nodes) throws Exception {
        MetadataStore store = new MetadataStore(1);
        CacheStore cache = new CacheStore();
        store.put(
                "op/config",
                Configuration.withStore(
                        Configuration.of(1, Map.of("t1", List.of("key-1"))), "bank", cache.address()));
        AtomicInteger fetches = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        Transfers.Observer observer = new Transfers.Observer() {
            @Override
            public void onFetched(String requestId, String part, boolean whole, boolean inTime) {
                fetches.incrementAndGet();
                if (!whole) {
                    record.add("request " + requestId + " fetched part " + part + ", which was being written"
                            + (inTime ? "" : "; thrown away at its deadline"));
                }
                if (!whole && inTime) {
                    broken.incrementAndGet();
                }
            }

            @Override
            public void onSaved(String requestId, String part) {
                record.add("part " + part + " saved whole by request " + requestId);
            }
        };
        for (int index = 0; index < ENGINES; index++) {
            Server engine = new Server("i-engine-" + index, "llm", "v1", store, (server, id, run, request) ->
                    record.add("run " + run + " of request " + id + ", fetch " + request.header("X-Kv-Fetch", "none")
                            + ", save " + request.header("X-Kv-Save", "none")));
            engine.use(new Transfers(Map.of(cache.address(), cache), observer));
            engine.beat(0, 1_200);
        }
        nodes.start(0, store.address(), Nodes.usualBounds());
        nodes.awaitReady(0, 20_000);
        Thread.sleep(3_000);
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger fresh = new AtomicInteger();
        AtomicInteger serving = new AtomicInteger(1);
        AtomicInteger numbers = new AtomicInteger();
        for (int index = 0; index < CLIENTS; index++) {
            int client = index;
            Random random = new Random(index);
            Http.daemon(() -> {
                while (!stopped.get()) {
                    int node = client % serving.get();
                    String id = String.format("%016x", numbers.incrementAndGet());
                    if (read(nodes, node, id, drawParts(random, fresh), record)) {
                        whole.incrementAndGet();
                    }
                    Thread.sleep(random.nextInt(100));
                }
            });
        }
        // The others join once the store has all parts, as nodes do that are replaced.
        for (int node = 1; node < NODES; node++) {
            Thread.sleep(JOIN_MILLIS);
            nodes.start(node, store.address(), Nodes.usualBounds());
            nodes.awaitReady(node, 20_000);
            serving.incrementAndGet();
        }
        for (int outage = 0; outage < OUTAGES; outage++) {
            Thread.sleep(PAUSE_MILLIS + 137 * outage);
            if (trouble) {
                record.add("store goes dark; it has " + cache.size() + " parts");
                cache.goDark();
                Thread.sleep(DARK_MILLIS);
                cache.comeBack();
                record.add("store is back, empty");
            }
        }
        Thread.sleep(6_000);
        stopped.set(true);
        record.add(whole.get() + " whole streams, " + fetches.get() + " fetches, of parts that were being written: "
                + broken.get());
        System.out.println(whole.get() + " whole streams; " + fetches.get() + " fetches; " + broken.get()
                + " of parts that were being written");
        if (whole.get() < 500 || fetches.get() < 100) {
            record.add("too few streams or fetches");
            return 2;
        }
        return broken.get() > 0 ? 1 : 0;
    }

    /** The shared parts of a prompt: a system part with a popular or a new document. */
    private static String drawParts(Random random, AtomicInteger fresh) {
        return "a" + random.nextInt(8) + ":341,"
                + (random.nextInt(10) < 7 ? "f" + fresh.incrementAndGet() + ":531" : "d" + random.nextInt(DOCUMENTS) + ":5000");
    }

    private static boolean read(Nodes nodes, int node, String id, String parts, Record record) {
        String head = "POST /stream/5/20 HTTP/1.1\r\nHost: " + Configuration.HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\nX-Model: m\r\nX-Token-Usage: 5581,5\r\n"
                + "X-Prefix-Hash: " + parts + ",e" + id + ":240"
                + "\r\nContent-Length: 0\r\n\r\n";
        try (Socket socket = new Socket(nodes.ip(node), nodes.front())) {
            socket.setSoTimeout(6_000);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            if (answer == null || answer.status() != 200) {
                record.add("request " + id + " got " + (answer == null ? "no answer" : answer.firstLine()));
                return false;
            }
            while (Http.readChunk(in) != null) {
                // The content does not matter here.
            }
            return true;
        } catch (IOException e) {
            record.add("request " + id + " got " + e);
            return false;
        }
    }
}
