import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: a new configuration takes the last tenant away. Requests with its key, or with any other, must not run any more. */
public final class EmptyTenants {
    private static final int NODES = 3;
    private static final long REVOKE_MILLIS = 5_000;

    private EmptyTenants() {}

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, EmptyTenants::run);
    }

    private static int run(boolean trouble, Record record, Nodes nodes) throws Exception {
        MetadataStore store = new MetadataStore(1);
        store.put("op/config", Configuration.of(1, Map.of("t1", List.of("key-1"))));
        Set<String> forbidden = ConcurrentHashMap.newKeySet();
        AtomicInteger broken = new AtomicInteger();
        Server server = new Server("i-app-0", "app", "v1", store, (at, id, run, request) -> {
            record.add("run " + run + " of request " + id + " for tenant " + request.header("X-Tenant", "none"));
            if (forbidden.contains(id)) {
                broken.incrementAndGet();
                record.add("request " + id + " runs although no configuration in force has its key");
            }
        });
        server.beat(0, 1_200);
        for (int node = 0; node < NODES; node++) {
            nodes.start(node, store.address(), Nodes.usualBounds());
        }
        for (int node = 0; node < NODES; node++) {
            nodes.awaitReady(node, 20_000);
        }
        Thread.sleep(2_000);
        Requests requests = new Requests(nodes, record);
        int number = 0;
        for (int node = 0; node < NODES; node++) {
            if (!requests.succeeds(node, "c" + node, "key-1")) {
                record.add("the key did not work before the change");
                return 2;
            }
        }
        if (trouble) {
            store.put("op/config", Configuration.of(2, Map.of()));
            record.add("configuration 2 acknowledged; it has no tenant");
        }
        Thread.sleep(REVOKE_MILLIS + 500);
        for (int round = 0; round < 4; round++) {
            for (int node = 0; node < NODES; node++) {
                String id = Requests.id(++number);
                if (trouble) {
                    forbidden.add(id);
                }
                requests.send(node, id, "key-1");
                String unknown = Requests.id(++number);
                forbidden.add(unknown);
                requests.send(node, unknown, "key-never-held");
            }
            Thread.sleep(300);
        }
        record.add("requests that ran without a valid key: " + broken.get());
        System.out.println(broken.get() + " requests ran without a valid key");
        return broken.get() > 0 ? 1 : 0;
    }
}
