package org.cowslipbank.bench;

import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.Example;
import org.cowslipbank.standins.AnswerText;
import org.cowslipbank.standins.EngineSize;
import org.cowslipbank.standins.EngineStandIn;
import org.cowslipbank.standins.StoreSize;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/** Guards against a weight rollout that reaches no engine, interrupts a run or reuses blocks of the old version (P3). */
final class VersionChangeTest {
    private static final EngineSize ENGINE_SIZE = new EngineSize(4_000, 5, 16, 100_000, 16, 300, 100, true);
    private static final StoreSize STORE_SIZE = new StoreSize(50_000_000, 500_000_000, 100_000_000);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);
    private static final int LONG_ANSWER_TOKENS = 1_000;

    @Example
    void enginesLoadTheNewVersionWhileRunsGoOnAndNoOldBlockIsUsed() throws Exception {
        try (TestSystem system = new TestSystem(1, 2, ENGINE_SIZE, List.of(STORE_SIZE))) {
            String prompt = "Width of the shade slat. ".repeat(800);
            String before = complete(system, "s1", prompt, 8);
            waitFor(() -> system.store().blockCount() == 5, "blocks in the store");
            Mono<String> running = system.complete(0, "s2", "A long review", LONG_ANSWER_TOKENS)
                    .cache();
            running.subscribe();
            Thread.sleep(300);
            activateSecondVersion(system);
            String during = complete(system, "s3", "Asked during the change", 8);
            waitFor(() -> system.engines().stream().allMatch(VersionChangeTest::hasLoadedOnce), "weight loads");
            waitFor(
                    () -> complete(system, "s1", prompt, 8).contains("\"cached_tokens\":0"),
                    "a run without old blocks");
            assert before.contains(AnswerText.answer(prompt, 8)) : before;
            assert during.contains(AnswerText.answer("Asked during the change", 8)) : during;
            String longAnswer = running.block(ANSWER_TIMEOUT);
            assert longAnswer.contains(AnswerText.answer("A long review", LONG_ANSWER_TOKENS))
                    : longAnswer.substring(0, 200);
            assert system.foreignBlocks() == 0 : "blocks of another version were used";
        }
    }

    private static boolean hasLoadedOnce(EngineStandIn engine) {
        return engine.counters().weightLoads() == 1;
    }

    private static String complete(TestSystem system, String session, String prompt, int tokens) {
        return system.complete(0, session, prompt, tokens).block(ANSWER_TIMEOUT);
    }

    private static void activateSecondVersion(TestSystem system) throws Exception {
        String uri = "http://" + system.nodes().get(0).adminAddress() + "/admin/v1/configuration";
        String text = TestSystem.client(TestSystem.OPERATOR_KEY)
                .get()
                .uri(uri)
                .responseContent()
                .aggregate()
                .asString()
                .block(ANSWER_TIMEOUT);
        ObjectNode tree = (ObjectNode) new ObjectMapper().readTree(text);
        ObjectNode model = (ObjectNode) tree.path("models").path(0);
        ObjectNode next = model.path("versions").path(0).deepCopy();
        next.put("weightVersion", "v2");
        model.withArray("versions").add(next);
        model.put("activeVersion", "v2");
        String answer = TestSystem.client(TestSystem.OPERATOR_KEY)
                .headers(headers -> headers.set("if-match", "1"))
                .put()
                .uri(uri)
                .send(ByteBufFlux.fromString(Mono.just(tree.toString())))
                .responseContent()
                .aggregate()
                .asString()
                .block(ANSWER_TIMEOUT);
        assert answer.contains("\"accepted\"") : answer;
    }

    private static void waitFor(Condition condition, String what) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (condition.holds()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("timed out waiting for " + what);
    }

    /** A condition that may fail to be evaluated. */
    @FunctionalInterface
    private interface Condition {
        boolean holds() throws Exception;
    }
}
