package org.cowslipbank.bench.demo;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.entry.node.Node;
import org.cowslipbank.standins.StandInSet;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/** Injects the faults of a demonstration run and changes its configuration, at fixed times. */
final class FaultSchedule {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OPERATOR_KEY = "demo-operator";
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration REVISION_POLL_PERIOD = Duration.ofMillis(10);
    private static final int KILLED_NODE_INDEX = 2;

    private final DeploymentRun run;
    private final StandInSet standIns;
    private final List<Node> nodes;
    private final Consumer<String> progress;
    private final HttpClient client = HttpClient.newConnection();

    FaultSchedule(DeploymentRun run, StandInSet standIns, List<Node> nodes, Consumer<String> progress) {
        this.run = run;
        this.standIns = standIns;
        this.nodes = nodes;
        this.progress = progress;
    }

    Mono<Void> run() {
        return Mono.when(
                after(2_500, "every engine mutes its open streams", this::muteStreams),
                after(4_000, "node " + (KILLED_NODE_INDEX + 1) + " is killed", () -> nodes.get(KILLED_NODE_INDEX)
                        .close()),
                after(5_500, "half of the engines retire", this::retireHalfOfEngines),
                after(7_500, "store-1 is killed", () -> standIns.stores()
                        .get("store-1")
                        .close()),
                after(9_000, "the key-value service goes down", () -> standIns.keyValue()
                        .faults()
                        .setDown(true)),
                after(11_500, "the key-value service comes back", () -> standIns.keyValue()
                        .faults()
                        .setDown(false)),
                after(12_500, "the routing weights are changed", this::changeWeights));
    }

    private Mono<Void> after(long millis, String description, Runnable action) {
        return Mono.delay(Duration.ofMillis(millis))
                .publishOn(Schedulers.boundedElastic())
                .doOnNext(tick -> {
                    progress.accept("  " + millis + " ms: " + description);
                    action.run();
                })
                .then();
    }

    private void muteStreams() {
        standIns.engines().values().forEach(engine -> engine.muteOpenStreams());
    }

    private void retireHalfOfEngines() {
        changeConfiguration(tree -> {
            int retired = 0;
            for (JsonNode upstream : tree.withArray("upstreams")) {
                if (upstream.path("kind").asText().equalsIgnoreCase("engine") && retired < 3) {
                    ((ObjectNode) upstream).put("state", "leaving");
                    retired++;
                }
            }
        });
    }

    private void changeWeights() {
        double millis = changeConfiguration(tree -> {
            ObjectNode weights = (ObjectNode) tree.get("weights");
            weights.put("link", weights.path("link").asDouble() + 0.01);
        });
        run.setConfigAppliedMillis(millis);
    }

    /** Changes the configuration and returns the milliseconds until the slowest live node has applied it, or -1 on failure. */
    private double changeConfiguration(Consumer<ObjectNode> edit) {
        Node node = nodes.get(0);
        String root = "http://" + node.adminAddress() + "/admin/v1/configuration";
        ObjectNode tree = (ObjectNode) parseConfiguration(authorized(client)
                .get()
                .uri(root)
                .responseContent()
                .aggregate()
                .asString()
                .block());
        long revision = tree.path("revision").asLong();
        edit.accept(tree);
        long startNanos = System.nanoTime();
        Mono<String> change = authorized(client)
                .headers(headers ->
                        headers.set("if-match", "\"" + revision + "\"").set("x-change-reason", "demonstration"))
                .put()
                .uri(root)
                .send(ByteBufFlux.fromString(Mono.just(tree.toString())))
                .responseContent()
                .aggregate()
                .asString();
        Mono<Long> applied = Flux.interval(REVISION_POLL_PERIOD)
                .filter(tick -> lowestLiveRevision() > revision)
                .next()
                .map(tick -> System.nanoTime() - startNanos);
        String answer = change.subscribeOn(Schedulers.boundedElastic())
                .zipWith(applied)
                .map(both -> {
                    progress.accept("    " + both.getT1());
                    return both.getT2().toString();
                })
                .timeout(CHANGE_TIMEOUT)
                .onErrorResume(error -> {
                    progress.accept("    configuration change not applied by every live node: " + error);
                    return Mono.just("-1");
                })
                .block();
        long nanos = Long.parseLong(answer);
        return nanos < 0 ? -1 : nanos / 1e6;
    }

    private long lowestLiveRevision() {
        List<Node> live = new ArrayList<>(nodes);
        live.remove(KILLED_NODE_INDEX);
        return live.stream().mapToLong(Node::revision).min().orElse(0);
    }

    private static HttpClient authorized(HttpClient client) {
        return client.headers(headers -> headers.set("authorization", "Bearer " + OPERATOR_KEY));
    }

    private static JsonNode parseConfiguration(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new IllegalStateException("admin interface returned a configuration that is not JSON: " + text, e);
        }
    }
}
