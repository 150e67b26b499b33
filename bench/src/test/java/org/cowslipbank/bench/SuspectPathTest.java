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

/** Guards against a prompt that crashes one engine after another, and against refusals of prompts that ran beside it. */
final class SuspectPathTest {
    private static final int ENGINES = 5;
    private static final int HARMLESS_REQUESTS = 30;
    private static final int TOKENS = 100;
    // The retry budget is a tenth of the requests of the last 10 s; without background traffic it allows no retry.
    private static final Duration BACKGROUND_GAP = Duration.ofMillis(25);
    private static final int BACKGROUND_REQUESTS = 1_000;
    private static final int BACKGROUND_TOKENS = 4;
    private static final EngineSize ENGINE_SIZE = new EngineSize(40_000, 20, 16, 100_000, 16, 300, 100, true);
    private static final String CRASHING_PROMPT = "Span of the beam " + EngineStandIn.CRASH_MARKER;
    // Longer than the 5 s lease for which a new arbiter grants nothing and the 10 s window of the retry budget.
    private static final Duration WARM_UP = Duration.ofSeconds(11);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);

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
                .take(BACKGROUND_REQUESTS)
                .onBackpressureBuffer()
                .flatMap(
                        i -> incompleteAnswer(i.intValue(), "Catalogue entry " + i, BACKGROUND_TOKENS),
                        BACKGROUND_REQUESTS)
                .collectList()
                .cache();
        background.subscribe();
        Thread.sleep(WARM_UP.toMillis());
        Mono<List<String>> harmless = Flux.range(0, HARMLESS_REQUESTS)
                .flatMap(i -> incompleteAnswer(i, harmless(i), TOKENS), HARMLESS_REQUESTS)
                .collectList()
                .cache();
        harmless.subscribe();
        Thread.sleep(500);
        String first = sendCrashingPromptRepeatedly();
        List<String> incomplete = harmless.block(ANSWER_TIMEOUT);
        assert first.contains("request_crashes_upstreams") : first;
        assert system.crashes() >= 1 && system.crashes() <= 2 : "engines crashed: " + system.crashes();
        assert incomplete.isEmpty() : incomplete;
        List<String> incompleteInBackground = background.block(ANSWER_TIMEOUT);
        assert incompleteInBackground.isEmpty() : incompleteInBackground;
        List<String> incompleteOnRepeat = Flux.range(0, HARMLESS_REQUESTS)
                .flatMap(i -> incompleteAnswer(i + 1, harmless(i), TOKENS), HARMLESS_REQUESTS)
                .collectList()
                .block(ANSWER_TIMEOUT);
        assert incompleteOnRepeat.isEmpty() : incompleteOnRepeat;
        for (int node = 0; node < system.nodes().size(); node++) {
            String refused = complete(node, CRASHING_PROMPT, TOKENS).block(ANSWER_TIMEOUT);
            assert refused.contains("request_crashes_upstreams") : refused;
        }
        assert system.crashes() <= 2 : "engines crashed: " + system.crashes();
    }

    /** Resends the crashing prompt each half second, as a caller with a short timeout does; returns the first answer. */
    private String sendCrashingPromptRepeatedly() throws InterruptedException {
        Mono<String> first = complete(0, CRASHING_PROMPT, TOKENS).cache();
        first.subscribe();
        List<Mono<String>> copies = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Thread.sleep(500);
            Mono<String> copy = complete(i % 2, CRASHING_PROMPT, TOKENS).cache();
            copy.subscribe();
            copies.add(copy);
        }
        Flux.merge(copies).blockLast(ANSWER_TIMEOUT);
        return first.block(ANSWER_TIMEOUT);
    }

    /** Returns the prompt and the response body if the answer is incomplete, otherwise nothing. */
    private Mono<String> incompleteAnswer(int node, String prompt, int tokens) {
        String expected = AnswerText.answer(prompt, tokens);
        return complete(node % 2, prompt, tokens)
                .filter(body -> !body.contains(expected))
                .map(body -> prompt + ": " + body);
    }

    private static String harmless(int i) {
        return "Fit check " + i + " of the pergola post.";
    }

    private Mono<String> complete(int node, String prompt, int tokens) {
        return system.complete(node, prompt, prompt, tokens);
    }
}
