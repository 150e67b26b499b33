import java.io.OutputStream;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Case: the leader is stopped by SIGTERM just after an order, and another node gives the next order too soon. */
public final class LeaderHandover {
    private static final int NODES = 3;
    private static final int ENGINES = 6;
    private static final int ROUNDS = 6;
    private static final int LOAD_MS = 290;

    private final Rig rig;
    private final Map<String, Engine> engines = new HashMap<>();
    private volatile long ordersSeen;
    private volatile boolean broken;

    private LeaderHandover(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            code = new LeaderHandover(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** A sound engine that loads weights when it is ordered to. */
    private final class Engine {
        private final StandIn server;
        private long version = 1;
        private long accepted;
        private long sequence = 1;
        private long busyUntilMillis = Long.MIN_VALUE;
        private String lastHolder = "";
        private long lastOrderMillis;

        Engine(String id) throws java.io.IOException {
            server = rig.serve(id, this::answer);
            rig.register(server, "llm", version, sequence++);
        }

        private void answer(StandIn.Request request, OutputStream out) throws java.io.IOException {
            if (Services.isMisdirected(request, server.id, out)) {
                return;
            }
            if (request.target().equals("/api/order")) {
                StandIn.json(out, order(request.body()), "{}");
                return;
            }
            StandIn.json(out, 200, report());
        }

        private synchronized String report() {
            return "{\"Stage\":\"prefill_decode\",\"Models\":[{\"Name\":\"" + Rig.MODEL + "\",\"Version\":" + version
                    + ",\"Adapters\":[]}],\"Busy\":" + (rig.nowMillis() < busyUntilMillis) + ",\"Sequence\":" + accepted
                    + ",\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0}";
        }

        private synchronized int order(String body) {
            long nowMillis = rig.nowMillis();
            String holder = body.replaceAll(".*\"Holder\":\"([^\"]*)\".*", "$1");
            long ordered = Long.parseLong(body.replaceAll(".*\"Version\":(\\d+).*", "$1"));
            long token = Long.parseLong(body.replaceAll(".*\"FencingToken\":(\\d+).*", "$1"));
            long expected = Long.parseLong(body.replaceAll(".*\"Expected\":(\\d+).*", "$1"));
            rig.log("order at " + server.id + " from " + holder + ", generation " + token + ", version " + ordered
                    + ", expected " + expected);
            if (!lastHolder.isEmpty() && !lastHolder.equals(holder)) {
                long gapMillis = nowMillis - lastOrderMillis;
                rig.log("turn at " + server.id + " from " + lastHolder + " to " + holder + " after " + gapMillis + " ms");
                System.out.println("turn at " + server.id + " after " + gapMillis + " ms");
                if (gapMillis < Rig.LEASE_MS) {
                    broken = true;
                }
            }
            lastHolder = holder;
            lastOrderMillis = nowMillis;
            ordersSeen++;
            if (ordered == version) {
                return 200;
            }
            if (expected != accepted || nowMillis < busyUntilMillis) {
                return 409;
            }
            accepted++;
            busyUntilMillis = nowMillis + LOAD_MS;
            StandIn.daemon(() -> {
                try {
                    Thread.sleep(LOAD_MS);
                } catch (InterruptedException e) {
                    return;
                }
                synchronized (this) {
                    version = ordered;
                    rig.register(server, "llm", version, sequence++);
                }
            });
            return 202;
        }
    }

    private int run() throws Exception {
        rig.store.put("op/config", Rig.configuration(1, java.util.List.of()));
        for (int index = 1; index <= ENGINES; index++) {
            engines.put("i-llm-" + index, new Engine("i-llm-" + index));
        }
        rig.startNodes(NODES);
        rig.awaitReady(20_000);
        long version = 1;
        long untilMillis = rig.nowMillis() + 100_000;
        int leaders = 0;
        for (int round = 0; round < ROUNDS && !broken && rig.nowMillis() < untilMillis - 15_000; round++) {
            Thread.sleep(4_500);
            Rig.Node leader = rig.leader();
            long before = ordersSeen;
            name(++version);
            while (ordersSeen == before && rig.nowMillis() < untilMillis) {
                Thread.sleep(2);
            }
            if (Rig.hasTrouble()) {
                leader.signal("TERM");
            }
            // The next version is named before the previous one is in place everywhere.
            Thread.sleep(300);
            name(++version);
            Thread.sleep(4_500);
            if (Rig.hasTrouble()) {
                leader.process.waitFor(Rig.GRACE_S + 1, java.util.concurrent.TimeUnit.SECONDS);
                leader.start();
            }
        }
        rig.log(broken ? "broken" : "held");
        return broken ? 1 : 0;
    }

    private void name(long version) {
        rig.log("version " + version + " is named");
        rig.store.put("op/version/" + Rig.MODEL, "{\"Model\":\"" + Rig.MODEL + "\",\"Version\":" + version + "}");
    }
}
