import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: many clients at once send bodies of the largest size that the configuration allows. Clients with usual requests
 * on kept channels get no answer meanwhile.
 */
public final class LargeBodies {
    private static final int NODES = 3;
    private static final int APP_SERVERS = 3;
    private static final int ENGINES = 2;
    private static final int USUAL_CLIENTS = 12;
    private static final int UPLOADING_CLIENTS = 64;
    private static final int USUAL_BODY_BYTES = 12_000;
    private static final int MAX_BODY_BYTES = 4_194_304;
    private static final int WRITE_BYTES = 65_536;

    /** Pause after each write; 64 clients together send 42 MB a second, a third of a link of 1,000 Mbit/s. */
    private static final int WRITE_PAUSE_MS = 100;

    private static final int UPLOAD_MS = 15_000;
    private static final int ALLOWED_LOSSES = 3;

    /** The route's timeout, and the time by which a request must have its final answer. */
    private static final int TIMEOUT_MS = 600;

    private static final int ANSWER_MS = TIMEOUT_MS + 500;
    private static final int LEAST_UNANSWERED = 8;

    /** Time after the uploads in which the node must be ready again; more than RecoverS of the site, 12 s. */
    private static final int RECOVER_MS = 20_000;

    /** How long the clients wait for an answer to an order. */
    private static final int LIMIT_MS = 3_000;

    private final Rig rig;
    private final Services services;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger uploadsAnswered = new AtomicInteger();
    private final AtomicInteger uploadsFailed = new AtomicInteger();

    private LargeBodies(Rig rig) {
        this.rig = rig;
        this.services = new Services(rig);
    }

    public static void main(String[] arguments) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            code = new LargeBodies(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private int run() throws Exception {
        rig.store.put("op/config", Rig.configuration(1, List.of()));
        for (int index = 1; index <= APP_SERVERS; index++) {
            String id = "i-app-" + index;
            rig.register(rig.serve(id, (request, out) -> services.answerPlain(request, id, 20, out)), "app", 0, 1);
        }
        for (int index = 1; index <= ENGINES; index++) {
            String id = "i-llm-" + index;
            rig.register(rig.serve(id, (request, out) -> services.answerStream(request, id, 5, 20, out)), "llm", 1, 1);
        }
        rig.startNodes(NODES);
        rig.awaitReady(20_000);
        Thread.sleep(2_000);
        Rig.Node node = rig.nodes.get(0);
        for (int index = 0; index < USUAL_CLIENTS; index++) {
            String name = "order-" + index;
            StandIn.daemon(() -> sendOrders(node, name));
        }
        Thread.sleep(4_000);
        report("before");
        int bodyBytes = Rig.hasTrouble() ? MAX_BODY_BYTES : USUAL_BODY_BYTES;
        rig.log("uploads begin, " + bodyBytes + " bytes each");
        for (int index = 0; index < UPLOADING_CLIENTS; index++) {
            String name = "design-" + index;
            StandIn.daemon(() -> upload(node, name, bodyBytes));
        }
        Thread.sleep(UPLOAD_MS);
        stopped.set(true);
        Thread.sleep(4_000);
        report("after");
        boolean recovered = awaitReady(node);
        boolean ended = !node.process.isAlive();
        int unansweredOrders = unanswered.get();
        boolean hung = unansweredOrders >= LEAST_UNANSWERED && 2 * unansweredOrders > late.get();
        boolean broken = ended || hung || !recovered || lost.get() > ALLOWED_LOSSES;
        String line = "process ended " + ended + ", ready again " + recovered + ": " + (broken ? "broken" : "held");
        rig.log(line);
        System.out.println(line);
        return broken ? 1 : 0;
    }

    private boolean awaitReady(Rig.Node node) throws InterruptedException {
        long untilMillis = rig.nowMillis() + RECOVER_MS;
        while (rig.nowMillis() < untilMillis) {
            if (node.isReady()) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    private void report(String when) {
        String line = when + ": orders answered " + answered + ", refused " + refused
                + ", passed on and closed without an answer " + lost + ", closed and not run " + closed
                + ", unanswered after " + TIMEOUT_MS + " ms " + late + ", of these after " + ANSWER_MS + " ms "
                + unanswered + "; uploads answered " + uploadsAnswered + ", failed " + uploadsFailed;
        rig.log(line);
        System.out.println(line);
    }

    /** Sends orders on a kept channel, one after the other. */
    private void sendOrders(Rig.Node node, String name) {
        Rig.Channel channel = null;
        for (int number = 0; !stopped.get(); number++) {
            String id = name + "-" + number;
            long sentMillis = rig.nowMillis();
            try {
                if (channel == null) {
                    channel = new Rig.Channel(node.front);
                }
                rig.log("send " + id);
                sentMillis = rig.nowMillis();
                channel.send("/order/" + id, id, LIMIT_MS, "");
                int status = channel.read(LIMIT_MS).status();
                rig.log("answer " + id + " " + status);
                (status == 200 ? answered : refused).incrementAndGet();
                Thread.sleep(60);
            } catch (IOException e) {
                boolean ran = services.runsOf(id) > 0;
                rig.log("no answer " + id + ", ran " + ran + ": " + e);
                if (!(e instanceof SocketTimeoutException)) {
                    (ran ? lost : closed).incrementAndGet();
                }
                close(channel);
                channel = null;
            } catch (InterruptedException e) {
                return;
            }
            long millis = rig.nowMillis() - sentMillis;
            late.addAndGet(millis > TIMEOUT_MS + 60 ? 1 : 0);
            unanswered.addAndGet(millis > ANSWER_MS + 60 ? 1 : 0);
        }
    }

    private static void close(Rig.Channel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            System.err.println("cannot close a client's channel: " + e);
        }
    }

    private void upload(Rig.Node node, String name, int bodyBytes) {
        byte[] part = new byte[WRITE_BYTES];
        for (int number = 0; !stopped.get(); number++) {
            String id = name + "-" + number;
            try (Rig.Channel channel = new Rig.Channel(node.front)) {
                rig.log("send " + id);
                channel.sendHead("/design/" + id, id, 12_000, Services.PROMPT_HEADERS, bodyBytes);
                for (int sent = 0; sent < bodyBytes; sent += part.length) {
                    channel.socket.getOutputStream().write(part, 0, Math.min(part.length, bodyBytes - sent));
                    Thread.sleep(WRITE_PAUSE_MS);
                }
                int status = channel.read(12_000).status();
                rig.log("answer " + id + " " + status);
                (status == 200 ? uploadsAnswered : uploadsFailed).incrementAndGet();
            } catch (IOException e) {
                rig.log("no answer " + id + ", ran " + (services.runsOf(id) > 0) + ": " + e);
                uploadsFailed.incrementAndGet();
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
