import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a key is revoked, the metadata store comes back from a copy some seconds old, and a node starts at that moment. The key
 * must not work any more.
 */
public final class RestoredStore {
    private static final int NODES = 3;
    private static final long FIRST_ERA = 0;
    private static final long REVOKE_MILLIS = 5_000;
    private static final long AWAY_MILLIS = 1_000;
    private static final long REWRITE_MILLIS = 2_000;
    private static final String REVOKED = "key-old";

    private RestoredStore() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, RestoredStore::run);
    }

    private static int run(boolean trouble, Record record, Nodes nodes) throws Exception {
        // The pages do not say at which number the eras begin; the first copy raises it by one.
        MetadataStore store = new MetadataStore(FIRST_ERA);
        Map<String, Object> before = Configuration.of(1, Map.of("t1", List.of("key-1", REVOKED)));
        Map<String, Object> after = Configuration.of(2, Map.of("t1", List.of("key-1")));
        store.put("op/config", before);
        AtomicInteger late = new AtomicInteger();
        Set<String> sentLate = ConcurrentHashMap.newKeySet();
        Server server = new Server("i-app-0", "app", "v1", store, (at, id, run, request) -> {
            record.add("run " + run + " of request " + id);
            if (sentLate.contains(id)) {
                late.incrementAndGet();
                record.add("request " + id + " runs although its key is revoked");
            }
        });
        server.beat(0, 1_200);
        for (int node = 0; node < NODES; node++) {
            nodes.start(node, store.address(), Nodes.usualBounds());
        }
        for (int node = 0; node < NODES; node++) {
            nodes.awaitReady(node, 20_000);
        }
        Thread.sleep(4_000);
        Requests requests = new Requests(nodes, record);
        int number = 0;
        if (!requests.succeeds(0, "c", REVOKED)) {
            record.add("the key did not work before its revocation");
            return 2;
        }
        MetadataStore.Copy copy = store.copy();
        record.add("copy of the store taken; it holds configuration 1");
        store.put("op/config", after);
        long revokedAt = System.currentTimeMillis();
        record.add("configuration 2 acknowledged; " + REVOKED + " is revoked");
        Thread.sleep(4_000);
        long until = revokedAt + 4_000 + AWAY_MILLIS;
        if (trouble) {
            nodes.kill(0);
            store.goAway();
            record.add("store is away; node 0 was killed");
            nodes.start(0, store.address(), Nodes.usualBounds());
            record.add("node 0 starts again");
            Thread.sleep(Math.max(0, until - System.currentTimeMillis()));
            store.restore(copy);
            store.comeBack();
            record.add("store is back from the copy, which is some " + (until - revokedAt) + " ms old");
        }
        long rewriteAt = until + REWRITE_MILLIS;
        boolean rewritten = false;
        long end = rewriteAt + 8_000;
        while (System.currentTimeMillis() < end) {
            if (!rewritten && System.currentTimeMillis() >= rewriteAt) {
                rewritten = true;
                store.put("op/config", after);
                record.add("operator has written configuration 2 again");
            }
            if (System.currentTimeMillis() > revokedAt + REVOKE_MILLIS) {
                String id = Requests.id(++number);
                sentLate.add(id);
                requests.send(0, id, REVOKED);
            }
            Thread.sleep(50);
        }
        boolean sound = requests.succeeds(0, "e", "key-1");
        record.add("valid key at the end: " + sound + "; requests that ran with the revoked key: " + late.get());
        System.out.println(late.get() + " requests ran with the revoked key");
        if (!sound) {
            return 2;
        }
        return late.get() > 0 ? 1 : 0;
    }
}
