package org.cowslipbank.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cowslipbank.standins.AnswerText;
import org.cowslipbank.standins.EngineSize;
import org.cowslipbank.standins.EngineStandIn;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Guards against a prompt that crashes one engine after another, and against refusing those that ran beside it. */
final class SuspectPathTest {
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

    private TestSystem system;

    @BeforeTry
    void start() throws Exception {
        system = new TestSystem(2, ENGINES, ENGINE_SIZE, List.of());
    }

    @AfterTry
    void stop() {
        system.close();
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
        assert system.crashes() >= 1 && system.crashes() <= 2 : "engines crashed: " + system.crashes();
        assert cut.isEmpty() : cut;
        List<String> cutInBackground = background.block(ANSWERS);
        assert cutInBackground.isEmpty() : cutInBackground;
        List<String> cutAgain = Flux.range(0, HARMLESS)
                .flatMap(i -> cut(i + 1, harmless(i), TOKENS), HARMLESS)
                .collectList()
                .block(ANSWERS);
        assert cutAgain.isEmpty() : cutAgain;
        for (int node = 0; node < system.nodes().size(); node++) {
            String refused = complete(node, CRASHING, TOKENS).block(ANSWERS);
            assert refused.contains("request_crashes_upstreams") : refused;
        }
        assert system.crashes() <= 2 : "engines crashed: " + system.crashes();
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
        return system.complete(node, prompt, prompt, tokens);
    }
}
