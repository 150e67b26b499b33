import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Case: a configuration isolates a tenant; another tenant still gets the parts that the tenant's requests have made. */
public final class IsolatedTenant {
    private static final int NODES = 3;
    private static final int ENGINES = 2;
    private static final int CONFIG_APPLY_MS = 2_000;
    private static final int REQUESTS = 6;
    private static final int LIMIT_MS = 12_000;
    private static final String TENANT_A = "tenant-a";
    private static final String TENANT_B = "tenant-b";
    private static final String KEY_B = "key-of-tenant-b";

    private final Rig rig;
    private final Services services;
    private final Set<String> isolated = ConcurrentHashMap.newKeySet();
    private volatile boolean broken;

    private IsolatedTenant(Rig rig) {
        this.rig = rig;
        this.services = new Services(rig);
    }

    public static void main(String[] arguments) {
        int code = 2;
        try (Rig rig = new Rig(Path.of(arguments[0]))) {
            code = new IsolatedTenant(rig).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** An engine that keeps the parts of prompts under their cache salt, as the platform's pages say. */
    private final class Engine {
        private final String id;
        private final Map<String, String> makerByPart = new ConcurrentHashMap<>();

        Engine(String id) throws java.io.IOException {
            this.id = id;
            rig.register(rig.serve(id, this::answer), "llm", 1, 1);
        }

        private void answer(StandIn.Request request, OutputStream out) throws java.io.IOException, InterruptedException {
            if (!Services.isMisdirected(request, id, out) && !request.header("X-Prefix-Hash").isEmpty()) {
                usePrompt(request);
            }
            services.answerStream(request, id, 3, 20, out);
        }

        private void usePrompt(StandIn.Request request) {
            String tenant = request.header("X-Tenant");
            String salt = request.header("X-Cache-Salt");
            boolean cached = true;
            for (String entry : request.header("X-Prefix-Hash").split(",")) {
                String part = entry.split(":")[0];
                String maker = cached ? makerByPart.get(salt + " " + part) : null;
                cached = maker != null;
                if (!cached) {
                    makerByPart.put(salt + " " + part, tenant);
                    rig.log("made part " + part + " by " + tenant + " at " + id + " under salt " + salt);
                    continue;
                }
                rig.log("used part " + part + " of " + maker + " by " + tenant + " at " + id + " under salt " + salt);
                if (!maker.equals(tenant) && (isolated.contains(maker) || isolated.contains(tenant))) {
                    rig.log("wall broken: " + part + " of " + maker + " used by " + tenant);
                    broken = true;
                }
            }
        }
    }

    private int run() throws Exception {
        rig.store.put("op/config", configuration(1, false));
        for (int index = 1; index <= ENGINES; index++) {
            new Engine("i-llm-" + index);
        }
        rig.startNodes(NODES);
        rig.awaitReady(20_000);
        Thread.sleep(2_000);
        sendPrompts("a", Rig.KEY);
        rig.store.put("op/config", configuration(2, Rig.hasTrouble()));
        rig.log("version 2 acknowledged, " + TENANT_A + " isolated " + Rig.hasTrouble());
        Thread.sleep(CONFIG_APPLY_MS + 1_000);
        if (Rig.hasTrouble()) {
            isolated.add(TENANT_A);
        }
        sendPrompts("b", KEY_B);
        String line = broken ? "broken" : "held";
        rig.log(line);
        System.out.println(line);
        return broken ? 1 : 0;
    }

    /** Sends prompts with a shared part, at each node in turn. */
    private void sendPrompts(String name, String key) throws Exception {
        for (int index = 0; index < REQUESTS; index++) {
            Rig.Node node = rig.nodes.get(index % NODES);
            String id = name + index;
            try (Rig.Channel channel = new Rig.Channel(node.front)) {
                rig.log("send " + id + " to " + node.name);
                channel.key = key;
                channel.send(
                        "/assist/" + id,
                        id,
                        LIMIT_MS,
                        "X-Model: " + Rig.MODEL + "\r\nX-Token-Usage: 1460,80\r\nX-Prefix-Hash: 5c1e07a2:800,e" + name + index
                                + ":660\r\n");
                rig.log("answer " + id + " " + channel.read(LIMIT_MS).status());
            }
        }
    }

    private static String configuration(long version, boolean isolateA) {
        String tenants = "\"Tenants\":[{\"Name\":\"" + TENANT_A + "\",\"ApiKeys\":[\"" + Rig.KEY + "\"],\"Priority\":1"
                + (isolateA ? ",\"Isolated\":true" : "") + "},{\"Name\":\"" + TENANT_B + "\",\"ApiKeys\":[\"" + KEY_B
                + "\"],\"Priority\":1}]}";
        return Rig.configuration(version, List.of()).replaceAll("\"Tenants\".*", tenants);
    }
}
