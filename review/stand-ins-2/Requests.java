import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Plain requests of a requester, each on a new channel. */
final class Requests {
    private final Nodes nodes;
    private final Record record;

    Requests(Nodes nodes, Record record) {
        this.nodes = nodes;
        this.record = record;
    }

    static String id(int number) {
        return String.format("%016x", number);
    }

    /** Sends a request that may not run twice; returns the status of the answer, zero without one. */
    int send(int node, String id, String key) {
        String head = "POST /order/1 HTTP/1.1\r\nHost: " + Configuration.HOST + "\r\nX-Request-Id: " + id
                + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 0\r\n\r\n";
        record.add("request " + id + " sent to node " + node + " with " + key);
        try (Socket socket = new Socket(nodes.ip(node), nodes.front())) {
            socket.setSoTimeout(1_500);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            record.add("request " + id + " got " + (answer == null ? "no answer" : answer.firstLine()));
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            record.add("request " + id + " got " + e);
            return 0;
        }
    }

    /** Sends requests until one is answered with success; returns false if none is in ten seconds. */
    boolean succeeds(int node, String prefix, String key) throws InterruptedException {
        long until = System.currentTimeMillis() + 10_000;
        for (int number = 1; System.currentTimeMillis() < until; number++) {
            if (send(node, prefix + Requests.id(number), key) == 200) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }
}
