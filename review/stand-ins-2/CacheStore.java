import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a managed store of KV cache. It keeps what engines save and tells its events late. */
final class CacheStore {
    private static final int EVENT_LAG_MILLIS = 60;

    /** When TCP sends a segment again that is not acknowledged: after 200 ms, then after twice the time each. */
    private static final long[] TCP_SENDS_AGAIN_MILLIS = {200, 600, 1_400, 3_000};

    /** A part in the store, whole or being written. */
    static final class Part {
        final int tokens;
        volatile boolean whole;

        Part(int tokens) {
            this.tokens = tokens;
        }
    }

    private record Event(long number, String salt, String id, int tokens, long visibleAtMillis) {}

    private final Map<String, Part> parts = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Set<Socket> lost = ConcurrentHashMap.newKeySet();
    private final Map<Socket, Long> sentInTheDark = new ConcurrentHashMap<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Http server;
    private long epoch = 70_000;
    private volatile boolean dark;

    CacheStore() throws IOException {
        server = new Http("127.0.0.1", 0, this::answer);
    }

    String address() {
        return server.address();
    }

    boolean isDark() {
        return dark;
    }

    /** The store falls silent and loses what it has; its connections carry nothing further. */
    synchronized void goDark() {
        dark = true;
        lost.addAll(open);
        parts.clear();
        events.clear();
        epoch++;
    }

    /**
     * The store is back, empty and with another epoch. What is sent on a connection from before is reset, also what was sent
     * while the store was dark, when TCP sends it again.
     */
    synchronized void comeBack() {
        dark = false;
        long backAt = System.currentTimeMillis();
        sentInTheDark.forEach((socket, sentAt) -> {
            for (long again : TCP_SENDS_AGAIN_MILLIS) {
                if (sentAt + again >= backAt) {
                    Http.daemon(() -> {
                        Thread.sleep(sentAt + again - backAt);
                        reset(socket);
                    });
                    return;
                }
            }
        });
        sentInTheDark.clear();
        notifyAll();
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    synchronized Part find(String salt, String id) {
        return parts.get(salt + " " + id);
    }

    synchronized int size() {
        return parts.size();
    }

    /** Reserves the space of a part; returns null if the store has it, whole or not. */
    synchronized Part reserve(String salt, String id, int tokens) {
        if (dark || parts.containsKey(salt + " " + id)) {
            return null;
        }
        Part part = new Part(tokens);
        parts.put(salt + " " + id, part);
        return part;
    }

    synchronized void complete(String salt, String id, Part part) {
        if (parts.get(salt + " " + id) == part) {
            part.whole = true;
            events.add(new Event(
                    events.size() + 1, salt, id, part.tokens, System.currentTimeMillis() + EVENT_LAG_MILLIS));
        }
    }

    private void answer(Http.Message request, Socket socket, OutputStream out) throws Exception {
        open.add(socket);
        if (dark || lost.contains(socket)) {
            lost.add(socket);
            if (dark) {
                sentInTheDark.put(socket, System.currentTimeMillis());
                return;
            }
            reset(socket);
            throw new IOException("connection from before the restart");
        }
        if (request.path().equals("/api/kv-events")) {
            Object body = changes(request, socket);
            if (body != null) {
                Http.writeJson(out, 200, "", body);
            }
        } else if (request.path().equals("/api/kv-free")) {
            Http.writeJson(out, 409, "", Json.map());
        } else {
            Http.writeJson(out, 200, "", Json.map("KvUsed", 0, "KvTotal", 645_433, "Epoch", epoch));
        }
    }

    /** Returns the events behind a number, once there are any; null if the store has gone dark meanwhile. */
    private synchronized Object changes(Http.Message request, Socket socket) throws InterruptedException {
        long since = Long.parseLong(request.query("Since", "0"));
        long until = System.currentTimeMillis() + Long.parseLong(request.header("Wait-Ms", "0"));
        while (true) {
            if (dark || lost.contains(socket)) {
                return null;
            }
            long now = System.currentTimeMillis();
            List<Object> rows = new ArrayList<>();
            long next = Math.min(since, events.size());
            for (Event event : events) {
                if (event.visibleAtMillis() > now) {
                    break;
                }
                next = event.number();
                if (event.number() > since) {
                    rows.add(List.of(event.number(), "+", event.salt(), event.id(), event.tokens(), "m"));
                }
            }
            if (!rows.isEmpty() || now >= until) {
                return Json.map(
                        "Epoch", epoch, "Next", next, "Lost", false, "Events", rows, "clock_ms", now);
            }
            wait(Math.min(10, until - now));
        }
    }
}
