package org.cowslipbank.bench.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cowslipbank.adapters.HttpExternalSystems;
import org.cowslipbank.bench.LoopbackPorts;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.entry.node.Node;
import org.cowslipbank.entry.node.NodeSecrets;
import org.cowslipbank.entry.settings.ListenSettings;
import org.cowslipbank.entry.settings.NodeSettings;
import org.cowslipbank.entry.settings.PlatformSettings;
import org.cowslipbank.entry.settings.SeedSettings;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.standins.AnswerText;
import org.cowslipbank.standins.EngineStandIn;
import org.cowslipbank.standins.ServiceStandIn;
import org.cowslipbank.standins.StandInSet;
import org.cowslipbank.standins.StandInSettings;
import org.cowslipbank.standins.StoreStandIn;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Runs the workload of one deployment with faults, and counts the outcomes that its callers saw. */
public final class DeploymentRun {
    private static final String HOST = LoopbackPorts.HOST;
    private static final int NODES = 3;
    private static final int ENGINES = 6;
    private static final int STORES = 2;
    private static final int TEAMS = 10;
    private static final int TOKENS_PER_ANSWER = 24;
    private static final int RETURNS_PER_SESSION = 2;
    private static final int DATA_CENTRES = 2;
    private static final long RUN_MILLIS = 13_500;
    private static final long ENTRIES_VALID_MILLIS = 2_000;
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(25);
    private static final byte[] FLEET_SECRET = "demo-fleet-secret".getBytes(StandardCharsets.UTF_8);
    private static final String OPERATOR_KEY = "demo-operator";

    private final Deployment deployment;
    private final Consumer<String> progress;
    private final List<Node> nodes = new ArrayList<>();
    private final List<HttpExternalSystems> outsideSystems = new ArrayList<>();
    private final Histogram firstMicros = new ConcurrentHistogram(3);
    private final Histogram returningMicros = new ConcurrentHistogram(3);
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger falseNotRun = new AtomicInteger();
    private final AtomicInteger outcomeUnknown = new AtomicInteger();
    private final AtomicInteger returningPromptTokens = new AtomicInteger();
    private final AtomicInteger recomputedTokens = new AtomicInteger();
    private final Map<String, Boolean> answeredOrders = new ConcurrentHashMap<>();
    private StandInSet standIns;
    private volatile double configAppliedMillis = -1;

    /**
     * Creates a run.
     *
     * @param deployment the deployment
     * @param progress receives progress messages, one line each
     */
    public DeploymentRun(Deployment deployment, Consumer<String> progress) {
        this.deployment = deployment;
        this.progress = progress;
    }

    /**
     * Starts the system, runs the workload and stops the system.
     *
     * @return the counts and latencies that the callers saw
     * @throws CowslipbankException if a node could not be started
     * @throws IOException if no port is free or no temporary file can be written
     */
    public DemoResult run() throws CowslipbankException, IOException {
        try {
            start();
            runWorkload();
            return collectOutcome();
        } finally {
            stop();
        }
    }

    private void start() throws CowslipbankException, IOException {
        List<SeedSettings> seeds = seeds();
        standIns = new StandInSet(standInSettings(seeds));
        Path configuration = Files.createTempFile("cowslipbank-demo", ".json");
        Files.writeString(configuration, configuration());
        for (SeedSettings seed : seeds) {
            HttpExternalSystems outside = new HttpExternalSystems(
                    standIns.keyValue().address(),
                    standIns.vmList().address(),
                    store -> standIns.stores().get(store.value()).address());
            outsideSystems.add(outside);
            Node node = new Node(
                    nodeSettings(seed, seeds, configuration),
                    outside,
                    new NodeSecrets(FLEET_SECRET, Map.of(Configurations.keySha256(OPERATOR_KEY), "demo")));
            nodes.add(node);
        }
        for (Node node : nodes) {
            node.start();
        }
        Files.delete(configuration);
        progress.accept(deployment.name() + ": " + NODES + " nodes, " + ENGINES + " engines, " + STORES
                + " stores and a plain service are running");
    }

    private static List<SeedSettings> seeds() throws IOException {
        List<SeedSettings> seeds = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            seeds.add(new SeedSettings(
                    "entry-" + (i + 1),
                    dataCentre(i),
                    HOST + ":" + LoopbackPorts.findFreePort(),
                    HOST + ":" + LoopbackPorts.findFreePort()));
        }
        return seeds;
    }

    private static String dataCentre(int index) {
        return "dc-" + (index % DATA_CENTRES + 1);
    }

    private StandInSettings standInSettings(List<SeedSettings> seeds) {
        List<StandInSettings.EngineVm> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new StandInSettings.EngineVm(
                    "engine-" + (i + 1), dataCentre(i), 0, "review", "v1", deployment.engine()));
        }
        List<StandInSettings.StoreVm> stores = new ArrayList<>();
        for (int i = 0; i < STORES; i++) {
            stores.add(new StandInSettings.StoreVm("store-" + (i + 1), dataCentre(i), 0, deployment.store()));
        }
        List<StandInSettings.EntryVm> entries = seeds.stream()
                .map(seed -> new StandInSettings.EntryVm(seed.vm(), seed.dataCentre(), seed.peerAddress()))
                .toList();
        List<StandInSettings.ServiceVm> services = List.of(new StandInSettings.ServiceVm("orders-1", "dc-1", 0));
        return new StandInSettings(HOST, 0, 0, 500, entries, engines, stores, services);
    }

    private String configuration() throws CowslipbankException {
        Configurations.Builder builder = Configurations.builder();
        List<String> engines = new ArrayList<>();
        int engineIndex = 0;
        for (Map.Entry<String, EngineStandIn> engine : standIns.engines().entrySet()) {
            engines.add(engine.getKey());
            builder.engine(
                    engine.getKey(),
                    dataCentre(engineIndex++),
                    engine.getValue().address(),
                    deployment.engine().refusesOldFencingTokens());
        }
        int storeIndex = 0;
        for (Map.Entry<String, StoreStandIn> store : standIns.stores().entrySet()) {
            builder.store(
                    store.getKey(),
                    dataCentre(storeIndex++),
                    store.getValue().address(),
                    deployment.store().linkBytesPerSecond());
        }
        builder.serviceInstance(
                "orders-1", "dc-1", standIns.services().get("orders-1").address());
        builder.model("review", "v1", engines);
        builder.service("orders", List.of("orders-1"), List.of("GET"));
        for (int team = 0; team < TEAMS; team++) {
            String key = teamKey(team);
            builder.team("team-" + team, deployment.region(), details -> details.key(Configurations.keySha256(key))
                    .limits(200, 400, 200, 1)
                    .models("review")
                    .services("orders"));
        }
        builder.weights(
                deployment.weights().timeToFirstToken(),
                deployment.weights().recompute(),
                deployment.weights().link());
        return builder.print();
    }

    private String teamKey(int team) {
        return deployment.name() + "-key-" + team;
    }

    private NodeSettings nodeSettings(SeedSettings own, List<SeedSettings> seeds, Path configuration) {
        return new NodeSettings(
                own.vm(),
                own.dataCentre(),
                deployment.region(),
                List.of(),
                toListenSettings(own.callerAddress()),
                new ListenSettings(HOST, 0),
                toListenSettings(own.peerAddress()),
                new PlatformSettings(
                        standIns.keyValue().address(), standIns.vmList().address()),
                seeds.stream().filter(seed -> !seed.equals(own)).toList(),
                null,
                null,
                0,
                500L,
                Map.of(),
                configuration.toString(),
                null,
                ENTRIES_VALID_MILLIS,
                null);
    }

    private static ListenSettings toListenSettings(String address) {
        int colon = address.lastIndexOf(':');
        return new ListenSettings(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private void runWorkload() {
        List<String> addresses = nodes.stream().map(Node::callerAddress).toList();
        try (CallerClient client = new CallerClient(addresses)) {
            Flux<Void> prompts = Flux.interval(Duration.ofNanos(1_000_000_000L / deployment.sessionsPerSecond()))
                    .take(Duration.ofMillis(RUN_MILLIS))
                    .onBackpressureBuffer()
                    .flatMap(number -> runSession(client, number), Integer.MAX_VALUE);
            Flux<Void> orders = Flux.interval(Duration.ofNanos(1_000_000_000L / deployment.ordersPerSecond()))
                    .take(Duration.ofMillis(RUN_MILLIS))
                    .onBackpressureBuffer()
                    .flatMap(number -> placeOrder(client, number), Integer.MAX_VALUE);
            FaultSchedule faults = new FaultSchedule(this, standIns, nodes, progress);
            Mono.when(prompts, orders, faults.run()).block();
        }
    }

    /** Sends the first prompt of a session and its later prompts, after gaps in which the engines drop its blocks. */
    private Mono<Void> runSession(CallerClient client, long number) {
        int team = (int) (number % 3 == 0 ? number % TEAMS : number % 2);
        String text = PromptTexts.firstPrompt(number, team, deployment.minPromptBytes(), deployment.maxPromptBytes());
        Mono<Void> turns = sendPrompt(client, number, team, text, false);
        String longer = text;
        for (int i = 1; i <= RETURNS_PER_SESSION; i++) {
            longer = PromptTexts.extend(longer, number, i);
            String next = longer;
            long gapMillis = 1_500 + number * 37 % 1_500;
            turns = turns.then(Mono.delay(Duration.ofMillis(gapMillis)))
                    .then(Mono.defer(() -> sendPrompt(client, number, team, next, true)));
        }
        return turns;
    }

    private Mono<Void> sendPrompt(CallerClient client, long number, int team, String text, boolean returning) {
        requests.incrementAndGet();
        CallerClient.Prompt prompt =
                new CallerClient.Prompt(teamKey(team), "review", "s" + number, text, TOKENS_PER_ANSWER);
        return client.complete(prompt)
                .timeout(ANSWER_TIMEOUT)
                .doOnNext(answer -> recordAnswer(text, answer, returning))
                .onErrorResume(error -> {
                    lost.incrementAndGet();
                    progress.accept("prompt of session s" + number + " not answered: " + error);
                    return Mono.empty();
                })
                .then();
    }

    private void recordAnswer(String prompt, CallerClient.Answer answer, boolean returning) {
        if (!answer.text().equals(AnswerText.answer(prompt, TOKENS_PER_ANSWER))) {
            wrong.incrementAndGet();
            return;
        }
        answered.incrementAndGet();
        (returning ? returningMicros : firstMicros).recordValue((long) (answer.firstTokenMillis() * 1_000));
        if (returning) {
            returningPromptTokens.addAndGet(answer.promptTokens());
            recomputedTokens.addAndGet(answer.promptTokens() - answer.cachedTokens());
        }
    }

    private Mono<Void> placeOrder(CallerClient client, long number) {
        requests.incrementAndGet();
        int team = (int) (number % TEAMS);
        String order = deployment.name() + " order " + number;
        return client.placeOrder(teamKey(team), "order-" + number, order, () -> checkNotRun(order))
                .timeout(ANSWER_TIMEOUT)
                .doOnNext(answer -> answeredOrders.put(order, true))
                .onErrorResume(error -> {
                    // The node answered that the outcome is unknown, or the caller timed out.
                    outcomeUnknown.incrementAndGet();
                    progress.accept("outcome of order " + number + " unknown: " + error);
                    return Mono.empty();
                })
                .then();
    }

    // A refusal that states "not run" is false if the order has already run.
    private void checkNotRun(String order) {
        boolean ran = standIns.services().values().stream()
                .anyMatch(service -> service.runsByOrder().containsKey(order));
        if (ran) {
            falseNotRun.incrementAndGet();
        }
    }

    void setConfigAppliedMillis(double millis) {
        configAppliedMillis = millis;
    }

    private DemoResult collectOutcome() {
        Map<String, Integer> runs = standIns.services().values().stream()
                .map(ServiceStandIn::runsByOrder)
                .findFirst()
                .orElse(Map.of());
        int doubled = (int) runs.values().stream().filter(count -> count > 1).count();
        int answeredOrdersRunOnce = (int) answeredOrders.keySet().stream()
                .filter(order -> runs.getOrDefault(order, 0) == 1)
                .count();
        int answeredButNotRun = (int) answeredOrders.keySet().stream()
                .filter(order -> !runs.containsKey(order))
                .count();
        long foreignBlocks = standIns.engines().values().stream()
                .mapToLong(engine -> engine.counters().foreignBlocks())
                .sum();
        long linkBytes = standIns.stores().values().stream()
                .mapToLong(StoreStandIn::linkBytes)
                .sum();
        return new DemoResult(
                deployment.name(),
                requests.get(),
                answered.get() + answeredOrdersRunOnce,
                lost.get() + answeredButNotRun,
                doubled,
                wrong.get(),
                falseNotRun.get(),
                outcomeUnknown.get(),
                foreignBlocks,
                firstMicros.getValueAtPercentile(95) / 1_000.0,
                returningMicros.getValueAtPercentile(95) / 1_000.0,
                returningPromptTokens.get() == 0 ? 0 : recomputedTokens.get() / (double) returningPromptTokens.get(),
                linkBytes,
                configAppliedMillis);
    }

    private void stop() {
        nodes.forEach(DeploymentRun::closeQuietly);
        outsideSystems.forEach(HttpExternalSystems::close);
        if (standIns != null) {
            standIns.close();
        }
    }

    private static void closeQuietly(Node node) {
        try {
            node.close();
        } catch (RuntimeException e) {
            // A node that was killed during the run is already closed.
            return;
        }
    }
}
