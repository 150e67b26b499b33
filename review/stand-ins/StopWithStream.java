import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a node that was told to stop takes streams late and passes them on, although they cannot end within its grace
 * period. The deployment has one node, so that clients get no other address and go on with the one that they know.
 */
public final class StopWithStream {
    private static final int ENGINES = 2;
    private static final int CLIENTS = 4;
    private static final int EVENTS = 40;

    /** Pause between events; a stream lasts 6 s, and pauses up to 300 ms are on time. */
    private static final int EVENT_PAUSE_MS = 150;

    private static final int LOOK_UP_MS = 1_000;
    private static final int SEND_AFTER_MS = 3_200;
    private static final int LIMIT_MS = 12_000;

    private final Rig rig;
    private final Services services;
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger notRun = new AtomicInteger();

    private StopWithStream(Rig rig) {
        this.rig = rig;
        this.services = new Services(rig);
    }

    public static void main(String[] arguments) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            code = new StopWithStream(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int run() throws Exception {
        rig.store.put("op/config", Rig.configuration(1, List.of()));
        for (int index = 1; index <= ENGINES; index++) {
            String id = "i-llm-" + index;
            StandIn engine = rig.serve(id, (request, out) -> {
                boolean first = request.header("X-Request-Id").endsWith("-first");
                services.answerStream(request, id, first ? 2 : EVENTS, EVENT_PAUSE_MS, out);
            });
            rig.register(engine, "llm", 1, 1);
        }
        rig.startNodes(1);
        rig.awaitReady(20_000);
        Rig.Node node = rig.nodes.get(0);
        Thread.sleep(2_000);
        List<String> addresses = lookUp(node);
        List<Rig.Channel> channels = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            Rig.Channel channel = new Rig.Channel(addresses.get(0));
            channel.send("/assist/" + index, "c" + index + "-first", LIMIT_MS, Services.PROMPT_HEADERS);
            rig.log("answer c" + index + "-first " + channel.read(LIMIT_MS).status());
            channels.add(channel);
        }
        if (Rig.hasTrouble()) {
            node.signal("TERM");
        }
        long stopMillis = rig.nowMillis();
        while (rig.nowMillis() + LOOK_UP_MS < stopMillis + SEND_AFTER_MS) {
            Thread.sleep(LOOK_UP_MS);
            List<String> next = lookUp(node);
            rig.log("look-up " + next);
            if (!next.isEmpty() && !next.contains(node.front)) {
                rig.log("the look-up names other nodes; clients leave this one");
                return 0;
            }
        }
        Thread.sleep(Math.max(0, stopMillis + SEND_AFTER_MS - rig.nowMillis()));
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            String id = "c" + index + "-second";
            Rig.Channel channel = channels.get(index);
            clients.add(StandIn.daemon(() -> sendStream(channel, id, stopMillis)));
        }
        for (Thread client : clients) {
            client.join(LIMIT_MS + 2_000);
        }
        if (Rig.hasTrouble()) {
            boolean ended = node.process.waitFor(Rig.GRACE_S, TimeUnit.SECONDS);
            rig.log("process ended " + ended);
        }
        String line = "complete " + complete + ", refused " + refused + ", passed on and cut " + lost
                + ", closed and not run " + notRun;
        rig.log(line);
        System.out.println(line);
        return lost.get() > 0 ? 1 : 0;
    }

    private void sendStream(Rig.Channel channel, String id, long stopMillis) {
        try {
            rig.log("send " + id + ", " + (rig.nowMillis() - stopMillis) + " ms after the signal");
            channel.send("/assist/" + id, id, LIMIT_MS, Services.PROMPT_HEADERS);
            Rig.Answer answer = channel.read(LIMIT_MS);
            rig.log("answer " + id + " " + answer.status() + ", " + answer.body().length() + " bytes");
            (answer.status() == 200 ? complete : refused).incrementAndGet();
        } catch (IOException e) {
            boolean ran = services.runsOf(id) > 0;
            rig.log("cut " + id + ", " + (rig.nowMillis() - stopMillis) + " ms after the signal, ran " + ran + ": " + e);
            (ran ? lost : notRun).incrementAndGet();
        }
    }

    /** Asks a node where to connect; empty if it does not tell. */
    private List<String> lookUp(Rig.Node node) {
        try (Rig.Channel channel = new Rig.Channel(node.lookup)) {
            StandIn.write(
                    channel.socket.getOutputStream(),
                    "GET /api/resolve?Name=" + Rig.HOST + "&Region=mu-west&Zone=mu-west-a HTTP/1.1\r\nHost: "
                            + node.lookup + "\r\n\r\n");
            Rig.Answer answer = channel.read(1_000);
            rig.log("look-up status " + answer.status());
            return answer.status() == 200
                    ? List.of(answer.body().replaceAll(".*\\[(.*)\\].*", "$1").replace("\"", "").split(","))
                    : List.of();
        } catch (IOException e) {
            rig.log("look-up failed: " + e);
            return List.of();
        }
    }
}
