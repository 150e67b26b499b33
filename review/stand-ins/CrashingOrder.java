import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Case: a request that crashes each plain server that runs it comes again and again, and is sent on each time. */
public final class CrashingOrder {
    private static final int NODES = 3;
    private static final int SERVERS = 3;
    private static final int CLIENTS = 9;
    private static final int RUN_MS = 40_000;
    private static final int CONTACT_MS = 3_000;
    private static final int ALLOWED_RETRIES = 3;
    private static final int COUNTED_CRASHES = 3;

    /** Pause between two tries of the client whose request crashes servers. */
    private static final int RETURN_MS = 1_500;

    /** Time after which a crashed server is back, with a new identifier. */
    private static final int RESTART_MS = 2_500;

    /** A server that sends no heartbeats is removed after three intervals of 1,200 ms. */
    private static final int EXPIRY_MS = 3_600;

    private static final String DEADLY = "deadly-";

    private final Rig rig;
    private final Services services;
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicLong countedFromMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicInteger countedRetries = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger starts = new AtomicInteger();

    private CrashingOrder(Rig rig) {
        this.rig = rig;
        this.services = new Services(rig);
    }

    public static void main(String[] arguments) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            code = new CrashingOrder(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** A plain server that a deadly request crashes. */
    private final class Server {
        private final String id = "i-app-" + starts.incrementAndGet();
        private final AtomicBoolean crashed = new AtomicBoolean();
        private final StandIn standIn;

        Server() throws IOException {
            standIn = rig.serve(id, this::answer);
            rig.register(standIn, "app", 0, 1);
            rig.log("start " + id);
        }

        private void answer(StandIn.Request request, OutputStream out) throws IOException, InterruptedException {
            if (!request.header("X-Request-Id").startsWith(DEADLY)) {
                services.answerPlain(request, id, 20, out);
                return;
            }
            if (Services.isMisdirected(request, id, out)) {
                return;
            }
            if (rig.nowMillis() >= countedFromMillis.get()) {
                countedRetries.incrementAndGet();
            }
            if (!Rig.hasTrouble()) {
                services.answerPlain(request, id, 20, out);
                return;
            }
            services.countRun(id, request.header("X-Request-Id"));
            if (crashed.compareAndSet(false, true)) {
                crash();
            }
        }

        private void crash() {
            int count = crashes.incrementAndGet();
            rig.log("crash " + count + " of " + id);
            if (count == COUNTED_CRASHES) {
                countedFromMillis.set(rig.nowMillis() + CONTACT_MS);
            }
            standIn.crash();
            StandIn.daemon(() -> {
                try {
                    Thread.sleep(RESTART_MS);
                    if (!stopped.get()) {
                        new Server();
                    }
                    Thread.sleep(EXPIRY_MS - RESTART_MS);
                    rig.store.remove("servers/" + id);
                } catch (IOException | InterruptedException e) {
                    rig.log("restart of " + id + " failed: " + e);
                }
            });
        }
    }

    private int run() throws Exception {
        rig.store.put("op/config", Rig.configuration(1, List.of()));
        for (int index = 0; index < SERVERS; index++) {
            new Server();
        }
        rig.startNodes(NODES);
        rig.awaitReady(20_000);
        Thread.sleep(2_000);
        for (int index = 0; index < CLIENTS; index++) {
            Rig.Node node = rig.nodes.get(index % NODES);
            String name = "order-" + index;
            StandIn.daemon(() -> sendOrders(node, name));
        }
        Thread.sleep(2_000);
        long endMillis = rig.nowMillis() + RUN_MS;
        for (int number = 0; rig.nowMillis() < endMillis; number++) {
            sendDeadly(rig.nodes.get(number % NODES), DEADLY + number);
            Thread.sleep(RETURN_MS);
        }
        stopped.set(true);
        Thread.sleep(1_000);
        String line = "crashes " + crashes + ", retries that reached a server later than " + CONTACT_MS
                + " ms after the third crash " + countedRetries + "; other orders answered " + answered
                + ", refused " + refused + ", run and failed " + failed;
        rig.log(line);
        System.out.println(line);
        return countedRetries.get() > ALLOWED_RETRIES ? 1 : 0;
    }

    /** Sends the deadly request: always the same path, caller and body. */
    private void sendDeadly(Rig.Node node, String id) {
        try (Rig.Channel channel = new Rig.Channel(node.front)) {
            rig.log("send " + id + " to " + node.name);
            channel.send("/order/17", id, 600, "");
            rig.log("answer " + id + " " + channel.read(2_000).status());
        } catch (IOException e) {
            rig.log("no answer " + id + ": " + e);
        }
    }

    /** Sends orders on a kept channel, one after the other. */
    private void sendOrders(Rig.Node node, String name) {
        Rig.Channel channel = null;
        for (int number = 0; !stopped.get(); number++) {
            String id = name + "-" + number;
            try {
                if (channel == null) {
                    channel = new Rig.Channel(node.front);
                }
                channel.send("/order/" + id, id, 600, "");
                int status = channel.read(2_000).status();
                if (status != 200) {
                    rig.log("answer " + id + " " + status);
                }
                boolean ran = services.runsOf(id) > 0;
                (status == 200 ? answered : ran ? failed : refused).incrementAndGet();
                Thread.sleep(30);
            } catch (IOException e) {
                rig.log("no answer " + id + ": " + e);
                channel = null;
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
