import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
final class MetadataStore {
    private record Entry(String key, byte[] value, long revision, long created, long lease) {}

    private record Lease(long ttlMillis, long endsAtMillis) {}

    /** What a copy of the store holds. */
    record Copy(TreeMap<String, Entry> items, List<Entry> history, Map<Long, Lease> leases, long revision, long lastLease) {}

    private TreeMap<String, Entry> items = new TreeMap<>();
    private List<Entry> history = new ArrayList<>();
    private Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease;
    private long era;
    private final Http server;

    /** Starts the store; all its answers name the era. */
    MetadataStore(long era) throws IOException {
        this.era = era;
        this.server = new Http("127.0.0.1", 0, this::answer);
        Http.daemon(() -> {
            while (true) {
                Thread.sleep(50);
                expire();
            }
        });
    }

    String address() {
        return server.address();
    }

    /** Takes the store away: its port refuses connections. */
    void goAway() throws IOException {
        server.kill();
    }

    void comeBack() throws IOException {
        server.startAgain();
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(items), new ArrayList<>(history), new HashMap<>(leases), revision, lastLease);
    }

    /** Restores the store from a copy, and raises the era by one. */
    synchronized void restore(Copy copy) {
        items = new TreeMap<>(copy.items());
        history = new ArrayList<>(copy.history());
        leases = new HashMap<>(copy.leases());
        revision = copy.revision();
        lastLease = copy.lastLease();
        era++;
        notifyAll();
    }

    /** Writes an item as the operator or a server does. */
    synchronized void put(String key, Object value) {
        put(key, Json.write(value).getBytes(StandardCharsets.UTF_8), 0);
        notifyAll();
    }

    synchronized void remove(String key) {
        Entry known = items.remove(key);
        if (known != null) {
            history.add(new Entry(key, null, ++revision, 0, 0));
            notifyAll();
        }
    }

    /** Returns an item's value, or null. */
    synchronized String value(String key) {
        Entry entry = items.get(key);
        return entry == null ? null : new String(entry.value(), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void put(String key, byte[] value, long lease) {
        Entry known = items.get(key);
        revision++;
        Entry entry = new Entry(key, value, revision, known == null ? revision : known.created(), lease);
        items.put(key, entry);
        history.add(entry);
    }

    private synchronized void expire() {
        long now = System.currentTimeMillis();
        for (long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).endsAtMillis() < now) {
                end(id);
            }
        }
    }

    private void end(long id) {
        leases.remove(id);
        List.copyOf(items.values()).stream().filter(entry -> entry.lease() == id).forEach(entry -> remove(entry.key()));
    }

    private static Map<String, Object> row(Entry entry) {
        if (entry.value() == null) {
            return Json.map("Key", entry.key(), "Revision", entry.revision(), "Tombstone", true);
        }
        return Json.map(
                "Key", entry.key(),
                "Value", Base64.getEncoder().encodeToString(entry.value()),
                "Revision", entry.revision(),
                "CreateRevision", entry.created(),
                "Lease", entry.lease());
    }

    private record Reply(int status, Object body, long era) {}

    private void answer(Http.Message request, Socket socket, OutputStream out) throws Exception {
        Reply reply = reply(request);
        Http.writeJson(out, reply.status(), "Store-Era: " + reply.era() + "\r\n", reply.body());
    }

    private synchronized Reply reply(Http.Message request) throws InterruptedException {
        String path = request.path();
        if (path.equals("/api/kv-watch")) {
            return watch(request);
        }
        if (path.equals("/api/kv-range")) {
            return range(request);
        }
        if (path.equals("/api/kv-txn")) {
            return transact(Json.object(request.text()));
        }
        if (path.equals("/api/kv-lease")) {
            long ttl = (Long) Json.object(request.text()).get("TtlMs");
            leases.put(++lastLease, new Lease(ttl, System.currentTimeMillis() + ttl));
            return new Reply(200, Json.map("Lease", lastLease, "TtlMs", ttl), era);
        }
        if (path.startsWith("/api/kv-keep/")) {
            long id = Long.parseLong(path.substring("/api/kv-keep/".length()));
            Lease lease = leases.get(id);
            if (lease == null) {
                return new Reply(404, Json.map(), era);
            }
            leases.put(id, new Lease(lease.ttlMillis(), System.currentTimeMillis() + lease.ttlMillis()));
            return new Reply(200, Json.map("TtlMs", lease.ttlMillis()), era);
        }
        if (path.startsWith("/api/kv-lease-end/")) {
            end(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
            return new Reply(200, Json.map(), era);
        }
        return new Reply(404, Json.map(), era);
    }

    private Reply range(Http.Message request) {
        String prefix = request.query("PathPrefix", "");
        String after = request.query("after", "");
        List<Object> rows = new ArrayList<>();
        for (Entry entry : items.tailMap(after, false).values()) {
            if (entry.key().startsWith(prefix)) {
                rows.add(row(entry));
            }
        }
        return new Reply(200, Json.map("items", rows, "MorePages", false, "AsOf", revision), era);
    }

    private Reply watch(Http.Message request) throws InterruptedException {
        String prefix = request.query("PathPrefix", "");
        long after = Long.parseLong(request.query("after", "0"));
        long untilMillis = System.currentTimeMillis() + Long.parseLong(request.query("WaitMs", "0"));
        long begunEra = era;
        while (true) {
            if (after > revision || begunEra != era) {
                return new Reply(410, Json.map(), era);
            }
            List<Object> rows = new ArrayList<>();
            for (Entry entry : history) {
                if (entry.revision() > after && entry.key().startsWith(prefix)) {
                    rows.add(row(entry));
                }
            }
            long left = untilMillis - System.currentTimeMillis();
            if (!rows.isEmpty() || left <= 0) {
                return new Reply(200, Json.map("Events", rows, "AsOf", revision), era);
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Reply transact(Map<String, Object> body) {
        for (Object each : (List<Object>) body.getOrDefault("Expected", List.of())) {
            Map<String, Object> row = (Map<String, Object>) each;
            Entry current = items.get((String) row.get("Key"));
            if ((current == null ? 0 : current.revision()) != (Long) row.get("Revision")) {
                return new Reply(412, Json.map("items", current == null ? List.of() : List.of(row(current))), era);
            }
        }
        List<Object> writes = (List<Object>) body.getOrDefault("Writes", List.of());
        for (Object each : writes) {
            long lease = (Long) ((Map<String, Object>) each).getOrDefault("Lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Reply(404, Json.map(), era);
            }
        }
        for (Object each : writes) {
            Map<String, Object> row = (Map<String, Object>) each;
            put(
                    (String) row.get("Key"),
                    Base64.getDecoder().decode((String) row.get("Value")),
                    (Long) row.getOrDefault("Lease", 0L));
        }
        for (Object key : (List<Object>) body.getOrDefault("Remove", List.of())) {
            remove((String) key);
        }
        notifyAll();
        return new Reply(200, Json.map("Revision", revision), era);
    }
}
