package org.cowslipbank.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.adapters.HttpOutsideSystems;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.entry.node.Node;
import org.cowslipbank.entry.node.NodeSecrets;
import org.cowslipbank.entry.settings.ListenSettings;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.settings.SeedSettings;
import org.cowslipbank.standins.AnswerText;
import org.cowslipbank.standins.EngineSize;
import org.cowslipbank.standins.EngineStandIn;
import org.cowslipbank.standins.StandInSet;
import org.cowslipbank.standins.StandInSettings;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/** Guards against a prompt that crashes one engine after another, and against refusing those that ran beside it. */
final class SuspectPathTest {
    private static final String KEY = "test-key";
    private static final String HOST = "127.0.0.1";
    private static final String DATA_CENTRE = "mu-west-1";
    private static final int ENGINES = 5;
    private static final int HARMLESS = 30;
    private static final int TOKENS = 100;
    // The retry budget is a tenth of the requests of the last 10 s, so without other traffic nothing is sent again.
    private static final Duration BACKGROUND_GAP = Duration.ofMillis(25);
    private static final int BACKGROUND = 1_000;
    private static final int BACKGROUND_TOKENS = 4;
    private static final EngineSize ENGINE_SIZE = new EngineSize(40_000, 20, 16, 100_000, 16, 300, 100, true);
    private static final String CRASHING = "Span of the beam " + EngineStandIn.CRASH_MARKER;
    // A new arbiter grants nothing for one lease of 5 s, and the window of the retry budget is 10 s long.
    private static final Duration WARM_UP = Duration.ofSeconds(11);
    private static final Duration ANSWERS = Duration.ofSeconds(60);

    private final List<Node> nodes = new ArrayList<>();
    private final List<HttpOutsideSystems> systems = new ArrayList<>();
    private StandInSet standIns;

    @BeforeTry
    void start() throws Exception {
        List<SeedSettings> seeds = List.of(seed("entry-1"), seed("entry-2"));
        standIns = new StandInSet(new StandInSettings(
                HOST,
                0,
                0,
                0,
                seeds.stream()
                        .map(seed -> new StandInSettings.EntryVm(seed.vm(), DATA_CENTRE, seed.peerAddress()))
                        .toList(),
                engineNames().stream()
                        .map(name -> new StandInSettings.EngineVm(name, DATA_CENTRE, 0, "review", "v1", ENGINE_SIZE))
                        .toList(),
                List.of(),
                List.of()));
        Path configuration = Files.createTempFile("suspect-path", ".json");
        Files.writeString(configuration, configuration());
        for (SeedSettings seed : seeds) {
            HttpOutsideSystems outside = new HttpOutsideSystems(
                    standIns.keyValue().address(), standIns.vmList().address(), id -> HOST + ":1");
            Node node =
                    new Node(settings(seed, seeds, configuration), outside, new NodeSecrets(new byte[16], Map.of()));
            node.start();
            systems.add(outside);
            nodes.add(node);
        }
        Files.delete(configuration);
    }

    @AfterTry
    void stop() {
        nodes.forEach(Node::close);
        systems.forEach(HttpOutsideSystems::close);
        standIns.close();
    }

    @Example
    void crashingPromptSentAgainToBothNodesCostsAtMostTwoEngines() throws Exception {
        Mono<List<String>> background = Flux.interval(BACKGROUND_GAP)
                .take(BACKGROUND)
                .onBackpressureBuffer()
                .flatMap(i -> cut(i.intValue(), "Catalogue entry " + i, BACKGROUND_TOKENS), BACKGROUND)
                .collectList()
                .cache();
        background.subscribe();
        Thread.sleep(WARM_UP.toMillis());
        Mono<List<String>> harmless = Flux.range(0, HARMLESS)
                .flatMap(i -> cut(i, harmless(i), TOKENS), HARMLESS)
                .collectList()
                .cache();
        harmless.subscribe();
        Thread.sleep(500);
        String first = crashingUntilRefused();
        List<String> cut = harmless.block(ANSWERS);
        assert first.contains("request_crashes_upstreams") : first;
        assert crashes() >= 1 && crashes() <= 2 : "engines crashed: " + crashes();
        assert cut.isEmpty() : cut;
        List<String> cutInBackground = background.block(ANSWERS);
        assert cutInBackground.isEmpty() : cutInBackground;
        List<String> cutAgain = Flux.range(0, HARMLESS)
                .flatMap(i -> cut(i + 1, harmless(i), TOKENS), HARMLESS)
                .collectList()
                .block(ANSWERS);
        assert cutAgain.isEmpty() : cutAgain;
        for (int node = 0; node < nodes.size(); node++) {
            String refused = complete(node, CRASHING, TOKENS).block(ANSWERS);
            assert refused.contains("request_crashes_upstreams") : refused;
        }
        assert crashes() <= 2 : "engines crashed: " + crashes();
    }

    /** The caller gives up on an answer after half a second and sends its prompt again to both nodes. */
    private String crashingUntilRefused() throws InterruptedException {
        Mono<String> first = complete(0, CRASHING, TOKENS).cache();
        first.subscribe();
        List<Mono<String>> copies = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Thread.sleep(500);
            Mono<String> copy = complete(i % 2, CRASHING, TOKENS).cache();
            copy.subscribe();
            copies.add(copy);
        }
        Flux.merge(copies).blockLast(ANSWERS);
        return first.block(ANSWERS);
    }

    private long crashes() {
        return standIns.engines().values().stream()
                .mapToLong(engine -> engine.counters().crashes())
                .sum();
    }

    /** Returns the answer if it is not whole. */
    private Mono<String> cut(int node, String prompt, int tokens) {
        String whole = AnswerText.answer(prompt, tokens);
        return complete(node % 2, prompt, tokens)
                .filter(body -> !body.contains(whole))
                .map(body -> prompt + ": " + body);
    }

    private static String harmless(int i) {
        return "Fit check " + i + " of the pergola post.";
    }

    private Mono<String> complete(int node, String prompt, int tokens) {
        String body = "{\"model\":\"review\",\"max_tokens\":" + tokens + ",\"prompt\":\"" + prompt + "\"}";
        return HttpClient.create()
                .headers(headers -> headers.set("authorization", "Bearer " + KEY))
                .post()
                .uri("http://" + nodes.get(node).callerAddress() + "/v1/completions")
                .send(ByteBufFlux.fromString(Mono.just(body)))
                .responseContent()
                .aggregate()
                .asString();
    }

    private static List<String> engineNames() {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            names.add("engine-" + i);
        }
        return names;
    }

    private String configuration() throws Exception {
        Configurations.Builder builder = Configurations.builder();
        for (String name : engineNames()) {
            builder = builder.engine(
                    name, DATA_CENTRE, standIns.engines().get(name).address(), true);
        }
        return builder.model("review", "v1", engineNames())
                .team("joinery", "mu-west", team -> team.key(Configurations.keySha256(KEY))
                        .limits(1_000, 1_000, 1_000, 1)
                        .models("review"))
                .weights(1, 0.2, 0.1)
                .print();
    }

    private static SeedSettings seed(String vm) throws IOException {
        return new SeedSettings(vm, DATA_CENTRE, HOST + ":" + LoopbackPorts.free(), HOST + ":" + LoopbackPorts.free());
    }

    private static ListenSettings listen(String address) {
        return new ListenSettings(HOST, Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)));
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
                seeds,
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
}
