package org.cowslipbank.bench;

import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cowslipbank.standins.AnswerText;
import org.cowslipbank.standins.EngineSize;
import org.cowslipbank.standins.EngineStandIn;
import org.cowslipbank.standins.StoreSize;
import org.cowslipbank.standins.StoreStandIn;
import reactor.core.Disposable;

/** Guards against a fault anywhere on the path between a caller, a node, an engine and a store. */
final class WholePathTest {
    private static final EngineSize ENGINE_SIZE = new EngineSize(4_000, 5, 16, 100_000, 16, 300, 100, true);
    private static final StoreSize STORE_SIZE = new StoreSize(50_000_000, 500_000_000, 100_000_000);

    private static final EngineSize FAST_ENGINE = new EngineSize(20_000, 5, 16, 100_000, 64, 300, 100, true);
    // Holds two sessions, each with three blocks of 64,000 bytes.
    private static final StoreSize SMALL_STORE = new StoreSize(400_000, 400_000, 100_000_000);
    private static final int SESSIONS = 8;
    private static final long EXPORT_MILLIS = 300;

    private TestSystem system;
    private EngineStandIn engine;
    private StoreStandIn store;

    private void start(EngineSize engineSize, StoreSize storeSize) throws Exception {
        system = new TestSystem(1, 1, engineSize, List.of(storeSize));
        engine = system.engines().get(0);
        store = system.store();
    }

    @AfterTry
    void stop() {
        system.close();
    }

    @Example
    void returningPromptIsServedFromTheStoreAfterTheEngineHasEvictedIt() throws Exception {
        start(ENGINE_SIZE, STORE_SIZE);
        String prompt = "Span of the pergola beam. ".repeat(800);
        String first = complete("s1", prompt);
        assert first.contains("cached_tokens") : first;
        waitForBlocks(5);
        engine.evictAll();
        String second = complete("s1", prompt);
        assert first.contains(AnswerText.answer(prompt, 8)) : first;
        assert second.contains(AnswerText.answer(prompt, 8)) : second;
        assert first.contains("\"cached_tokens\":0") : first;
        assert second.contains("\"cached_tokens\":5000") : second;
        assert engine.counters().foreignBlocks() == 0;
    }

    /** Guards against a full store that accepts no more blocks instead of evicting old ones. */
    @Example
    void fullStoreEvictsOldSessionsForNewOnes() throws Exception {
        start(FAST_ENGINE, SMALL_STORE);
        int servedFromStore = 0;
        for (int session = 0; session < SESSIONS; session++) {
            String prompt = ("Session " + session + " asks for a rafter. ").repeat(500);
            complete("s" + session, prompt);
            Thread.sleep(EXPORT_MILLIS);
            engine.evictAll();
            boolean full = session >= SESSIONS / 2;
            boolean cached = !complete("s" + session, prompt).contains("\"cached_tokens\":0");
            servedFromStore += full && cached ? 1 : 0;
        }
        assert servedFromStore > 0 : "no session was kept after the store had filled up";
        assert engine.counters().foreignBlocks() == 0;
    }

    private void waitForBlocks(int blocks) throws InterruptedException {
        for (int i = 0; i < 500 && store.blockCount() < blocks; i++) {
            Thread.sleep(20);
        }
        assert store.blockCount() == blocks : "blocks in the store: " + store.blockCount();
    }

    private String complete(String session, String prompt) {
        return system.complete(0, session, prompt, 8).block();
    }

    /** Guards against a run that continues on its engine after the caller has disconnected. */
    @Example
    void disconnectedCallerCancelsItsRun() throws Exception {
        start(ENGINE_SIZE, STORE_SIZE);
        Disposable caller =
                system.complete(0, "s1", "A very long review", 30_000).subscribe();
        for (int i = 0; i < 200 && engine.counters().runs() == 0; i++) {
            Thread.sleep(20);
        }
        caller.dispose();
        for (int i = 0; i < 200 && engine.counters().cancelled() == 0; i++) {
            Thread.sleep(20);
        }
        assert engine.counters().runs() == 1 : "runs: " + engine.counters().runs();
        assert engine.counters().cancelled() == 1
                : "cancelled: " + engine.counters().cancelled();
    }
}
