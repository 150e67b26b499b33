import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a server is cut off while it is answering without a length, crashes behind the cut and is back; in the last round, a
 * node stands still meanwhile instead of the cut. The node must not pass the part that it has on as a complete answer.
 */
public final class CrashBehindCut {
    private static final int NODES = 3;
    private static final int SERVERS = 3;
    private static final int REQUESTS = 12;
    /** Rounds with a cut; one with a node that stands still follows. */
    private static final int CUTS = 3;
    private static final long FIRST_HALF_MILLIS = 400;
    private static final long BEFORE_CRASH_MILLIS = 100;
    private static final long DOWN_MILLIS = 2_500;
    private static final long DISRUPTED_MILLIS = 3_000;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long FIRST_BEAT_MILLIS = 1_000;

    private CrashBehindCut() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, CrashBehindCut::run);
    }

    private static int run(boolean trouble, Record record, Nodes nodes) throws Exception {
        MetadataStore store = new MetadataStore(1);
        store.put("op/config", Configuration.of(1, Map.of("t1", List.of("key-1"))));
        List<Server> servers = new ArrayList<>();
        List<Link> links = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            Server server = new Server("i-app-" + index, "app", "v1", store, (at, id, run, request) ->
                    record.add("run " + run + " of request " + id));
            Link link = new Link(server.port());
            server.reachedAt(link.address());
            server.beat(0, HEARTBEAT_MILLIS);
            servers.add(server);
            links.add(link);
        }
        for (int node = 0; node < NODES; node++) {
            nodes.start(node, store.address(), Nodes.usualBounds());
        }
        Requests requests = new Requests(nodes, record);
        for (int node = 0; node < NODES; node++) {
            nodes.awaitReady(node, 20_000);
            if (!requests.succeeds(node, "c" + node, "key-1")) {
                record.add("node " + node + " does not serve");
                return 2;
            }
        }
        AtomicInteger partial = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        for (int round = 0; round <= CUTS; round++) {
            Thread.sleep(2_000);
            List<Thread> readers = new ArrayList<>();
            for (int number = 0; number < REQUESTS; number++) {
                String id = Requests.id(100 * (round + 1) + number);
                readers.add(Http.daemon(() -> read(nodes, id, record, whole, partial)));
            }
            Thread.sleep(FIRST_HALF_MILLIS);
            if (trouble) {
                Server server = servers.get(round % SERVERS);
                Link link = links.get(round % SERVERS);
                if (round < CUTS) {
                    link.setCut(true);
                    record.add("server " + server.id + " is cut off");
                } else {
                    nodes.signal(0, "STOP");
                    record.add("node 0 stands still");
                }
                Thread.sleep(BEFORE_CRASH_MILLIS);
                server.kill();
                record.add("server " + server.id + " crashed");
                Thread.sleep(DOWN_MILLIS);
                server.startAgain("v1");
                server.beat(FIRST_BEAT_MILLIS, HEARTBEAT_MILLIS);
                record.add("server " + server.id + " is back");
                Thread.sleep(DISRUPTED_MILLIS - DOWN_MILLIS - BEFORE_CRASH_MILLIS);
                if (round < CUTS) {
                    link.setCut(false);
                    record.add("the cut is over");
                } else {
                    nodes.signal(0, "CONT");
                    record.add("node 0 goes on");
                }
            }
            for (Thread reader : readers) {
                reader.join(15_000);
            }
            record.add("round " + round + (round < CUTS ? ", cut" : ", node that stands still") + ": so far " + whole.get()
                    + " whole answers, " + partial.get() + " successes with a part of the body");
        }
        record.add(whole.get() + " whole answers, " + partial.get() + " successes with a part of the body");
        System.out.println(whole.get() + " whole answers; " + partial.get() + " successes with a part of the body");
        if (whole.get() == 0) {
            return 2;
        }
        return partial.get() > 0 ? 1 : 0;
    }

    private static void read(Nodes nodes, String id, Record record, AtomicInteger whole, AtomicInteger partial) {
        String head = "POST /order/unframed HTTP/1.1\r\nHost: " + Configuration.HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
        try (Socket socket = new Socket(nodes.ip(0), nodes.front())) {
            socket.setSoTimeout(13_000);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                record.add("request " + id + " got no answer");
                return;
            }
            String length = answer.header("Content-Length", "none");
            record.add("request " + id + " got " + answer.firstLine() + ", Content-Length " + length + ", "
                    + answer.body().length + " bytes");
            if (answer.status() == 200 && answer.text().equals(Server.UNFRAMED_BODY)) {
                whole.incrementAndGet();
            } else if (answer.status() == 200 && length.equals(Integer.toString(answer.body().length))) {
                partial.incrementAndGet();
            }
        } catch (IOException e) {
            record.add("request " + id + " got " + e);
        }
    }
}
