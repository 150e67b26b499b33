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

/** The faults and the change of a demonstration day, at fixed times. */
final class Faults {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OPERATOR_KEY = "demo-operator";
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration REVISION_PERIOD = Duration.ofMillis(10);
    private static final int KILLED_NODE = 2;

    private final DeploymentRun run;
    private final StandInSet standIns;
    private final List<Node> nodes;
    private final Consumer<String> progress;
    private final HttpClient client = HttpClient.newConnection();

    Faults(DeploymentRun run, StandInSet standIns, List<Node> nodes, Consumer<String> progress) {
        this.run = run;
        this.standIns = standIns;
        this.nodes = nodes;
        this.progress = progress;
    }

    Mono<Void> run() {
        return Mono.when(
                at(2_500, "an open stream of every engine goes silent", this::muteStreams),
                at(4_000, "a node is killed without notice", () -> nodes.get(KILLED_NODE)
                        .close()),
                at(5_500, "half the engines retire", this::retireHalf),
                at(7_500, "a store dies", () -> standIns.stores().get("store-1").close()),
                at(9_000, "the key-value service goes away", () -> standIns.keyValue()
                        .faults()
                        .setDown(true)),
                at(11_500, "the key-value service is back", () -> standIns.keyValue()
                        .faults()
                        .setDown(false)),
                at(12_500, "the weights are changed", this::changeWeights));
    }

    private Mono<Void> at(long millis, String what, Runnable action) {
        return Mono.delay(Duration.ofMillis(millis))
                .publishOn(Schedulers.boundedElastic())
                .doOnNext(tick -> {
                    progress.accept("  " + millis + " ms: " + what);
                    action.run();
                })
                .then();
    }

    private void muteStreams() {
        standIns.engines().values().forEach(engine -> engine.muteOpenStreams());
    }

    private void retireHalf() {
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
        run.configApplied(millis);
    }

    /** Changes the configuration and returns the time until the slowest live node has applied it. */
    private double changeConfiguration(Consumer<ObjectNode> edit) {
        Node node = nodes.get(0);
        String root = "http://" + node.adminAddress() + "/admin/v1/configuration";
        ObjectNode tree = (ObjectNode) parse(authorized(client)
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
        Mono<Long> applied = Flux.interval(REVISION_PERIOD)
                .filter(tick -> lowestRevision() > revision)
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
                    progress.accept("    change failed: " + error);
                    return Mono.just("-1");
                })
                .block();
        long nanos = Long.parseLong(answer);
        return nanos < 0 ? -1 : nanos / 1e6;
    }

    private long lowestRevision() {
        List<Node> live = new ArrayList<>(nodes);
        live.remove(KILLED_NODE);
        return live.stream().mapToLong(Node::revision).min().orElse(0);
    }

    private static HttpClient authorized(HttpClient client) {
        return client.headers(headers -> headers.set("authorization", "Bearer " + OPERATOR_KEY));
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            throw new IllegalStateException("unreadable configuration: " + text, e);
        }
    }
}
