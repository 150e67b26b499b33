package org.cowslipbank.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.cowslipbank.adapters.HttpExternalSystems;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.entry.node.Node;
import org.cowslipbank.entry.node.NodeSecrets;
import org.cowslipbank.entry.settings.ListenSettings;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.settings.SeedSettings;
import org.cowslipbank.standins.EngineSize;
import org.cowslipbank.standins.EngineStandIn;
import org.cowslipbank.standins.StandInSet;
import org.cowslipbank.standins.StandInSettings;
import org.cowslipbank.standins.StoreSize;
import org.cowslipbank.standins.StoreStandIn;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/** Runs nodes with stand-ins on loopback, for tests over real sockets. */
final class TestSystem implements AutoCloseable {
    static final String OPERATOR_KEY = "operator-key";

    private static final String TEAM_KEY = "test-key";
    private static final String HOST = LoopbackPorts.HOST;
    private static final String DATA_CENTRE = "mu-west-1";
    private static final int TEAM_LIMIT = 1_000;

    private final List<Node> nodes = new ArrayList<>();
    private final List<HttpExternalSystems> systems = new ArrayList<>();
    private final StandInSet standIns;

    TestSystem(int nodeCount, int engineCount, EngineSize engineSize, List<StoreSize> storeSizes) throws Exception {
        List<SeedSettings> seeds = new ArrayList<>();
        for (int i = 1; i <= nodeCount; i++) {
            seeds.add(seed("entry-" + i));
        }
        standIns = new StandInSet(standInSettings(seeds, engineCount, engineSize, storeSizes));
        Path configuration = Files.createTempFile("test-system", ".json");
        Files.writeString(configuration, configuration(storeSizes));
        for (SeedSettings seed : seeds) {
            HttpExternalSystems outside = new HttpExternalSystems(
                    standIns.keyValue().address(),
                    standIns.vmList().address(),
                    store -> standIns.stores().get(store.value()).address());
            systems.add(outside);
            NodeSecrets secrets =
                    new NodeSecrets(new byte[16], Map.of(Configurations.keySha256(OPERATOR_KEY), "operator"));
            Node node = new Node(settings(seed, seeds, configuration), outside, secrets);
            nodes.add(node);
            node.start();
        }
        Files.delete(configuration);
    }

    List<Node> nodes() {
        return nodes;
    }

    List<EngineStandIn> engines() {
        return List.copyOf(standIns.engines().values());
    }

    StoreStandIn store() {
        return standIns.stores().get("store-1");
    }

    /** Sends a prompt without streaming and returns the response body, whatever the status. */
    Mono<String> complete(int node, String session, String prompt, int tokens) {
        String body = "{\"model\":\"review\",\"max_tokens\":" + tokens + ",\"prompt_cache_key\":\"" + session
                + "\",\"prompt\":\"" + prompt + "\"}";
        return client(TEAM_KEY)
                .post()
                .uri("http://" + nodes.get(node).callerAddress() + "/v1/completions")
                .send(ByteBufFlux.fromString(Mono.just(body)))
                .responseContent()
                .aggregate()
                .asString();
    }

    static HttpClient client(String key) {
        return HttpClient.create().headers(headers -> headers.set("authorization", "Bearer " + key));
    }

    long crashes() {
        return engines().stream()
                .mapToLong(engine -> engine.counters().crashes())
                .sum();
    }

    long foreignBlocks() {
        return engines().stream()
                .mapToLong(engine -> engine.counters().foreignBlocks())
                .sum();
    }

    @Override
    public void close() {
        nodes.forEach(Node::close);
        systems.forEach(HttpExternalSystems::close);
        standIns.close();
    }

    private static SeedSettings seed(String vm) throws IOException {
        return new SeedSettings(
                vm, DATA_CENTRE, HOST + ":" + LoopbackPorts.findFreePort(), HOST + ":" + LoopbackPorts.findFreePort());
    }

    private static StandInSettings standInSettings(
            List<SeedSettings> seeds, int engineCount, EngineSize engineSize, List<StoreSize> storeSizes) {
        List<StandInSettings.EngineVm> engines = new ArrayList<>();
        for (int i = 1; i <= engineCount; i++) {
            engines.add(new StandInSettings.EngineVm("engine-" + i, DATA_CENTRE, 0, "review", "v1", engineSize));
        }
        List<StandInSettings.StoreVm> stores = new ArrayList<>();
        for (StoreSize size : storeSizes) {
            stores.add(new StandInSettings.StoreVm("store-" + (stores.size() + 1), DATA_CENTRE, 0, size));
        }
        List<StandInSettings.EntryVm> entries = seeds.stream()
                .map(seed -> new StandInSettings.EntryVm(seed.vm(), DATA_CENTRE, seed.peerAddress()))
                .toList();
        return new StandInSettings(HOST, 0, 0, 0, entries, engines, stores, List.of());
    }

    private String configuration(List<StoreSize> storeSizes) throws Exception {
        Configurations.Builder builder = Configurations.builder();
        standIns.engines().forEach((name, engine) -> builder.engine(name, DATA_CENTRE, engine.address(), true));
        for (Map.Entry<String, StoreStandIn> store : standIns.stores().entrySet()) {
            builder.store(
                    store.getKey(),
                    DATA_CENTRE,
                    store.getValue().address(),
                    storeSizes.get(0).linkBytesPerSecond());
        }
        return builder.model("review", "v1", List.copyOf(standIns.engines().keySet()))
                .team("joinery", "mu-west", team -> team.key(Configurations.keySha256(TEAM_KEY))
                        .limits(TEAM_LIMIT, TEAM_LIMIT, TEAM_LIMIT, 1)
                        .models("review"))
                .weights(1, 0.2, 0.1)
                .print();
    }

    private static NodeSettings settings(SeedSettings own, List<SeedSettings> seeds, Path configuration) {
        return new NodeSettings(
                own.vm(),
                DATA_CENTRE,
                "mu-west",
                List.of(),
                listen(own.callerAddress()),
                new ListenSettings(HOST, 0),
                listen(own.peerAddress()),
                null,
                seeds.stream().filter(seed -> !seed.equals(own)).toList(),
                null,
                null,
                0,
                0L,
                Map.of(),
                configuration.toString(),
                null,
                null,
                null);
    }

    private static ListenSettings listen(String address) {
        return new ListenSettings(HOST, Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
    }
}
