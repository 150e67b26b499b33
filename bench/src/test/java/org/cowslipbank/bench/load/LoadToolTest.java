package org.cowslipbank.bench.load;

import java.util.List;

import net.jqwik.api.Example;
import org.cowslipbank.standins.AnswerText;
import org.cowslipbank.standins.EngineSize;

/** Guards against requests, wrong answers or injected faults that are missing from the result of a load run. */
final class LoadToolTest {
    private static final int TOKENS = 5;
    private static final EngineSize SIZE = new EngineSize(1_000_000, 5, 64, 100_000, 1, 300, 100, true);

    @Example
    void everyRequestIsCountedOnceAndTheFaultIsMarked() throws Exception {
        try (LocalSystem system = new LocalSystem(2, SIZE, List.of())) {
            LoadSettings settings = new LoadSettings(
                    List.of(system.nodeAddress()), LocalSystem.TEAMS, "review", 20, 0, 3, 4_200, TOKENS, 500, 3, 1);
            LoadFault evict =
                    new LoadFault(1.5, "evict <all>", () -> system.engines().forEach(engine -> engine.evictAll()));
            LoadResult result = new LoadTool(
                            settings,
                            (prompt, answer) -> answer.equals(AnswerText.answer(prompt, TOKENS)),
                            () -> 0,
                            List.of(evict),
                            line -> {})
                    .run();
            assert result.requests() > 0;
            assert result.answered() + result.refused() + result.failed() == result.requests() : result;
            assert result.answered() > 0 : result;
            assert result.wrong() == 0 : result;
            assert result.faults().size() == 1 : result;
            assert LoadReport.toHtml("run", result).contains("evict &lt;all>");
            assert LoadReport.toJson(result).contains("\"recomputedShare\"");
        }
    }

    @Example
    void refusalsAreNotCountedAsFailures() throws Exception {
        try (LocalSystem system = new LocalSystem(1, SIZE, List.of())) {
            List<LoadSettings.LoadTeam> unknownTeams =
                    List.of(new LoadSettings.LoadTeam("unregistered", "unknown-key"));
            LoadSettings settings = new LoadSettings(
                    List.of(system.nodeAddress()), unknownTeams, "review", 20, 0, 1, 4_200, TOKENS, 500, 3, 1);
            LoadResult result = new LoadTool(settings, (prompt, answer) -> false, () -> 0, List.of(), line -> {}).run();
            assert result.refused() == result.requests() : result;
        }
    }

    @Example
    void sameSeedGivesSameArrivalsIncludingReturns() {
        LoadSettings settings =
                new LoadSettings(List.of("a:1"), LocalSystem.TEAMS, "review", 20, 0, 3, 400, TOKENS, 500, 3, 7);
        Arrivals first = new Arrivals(settings);
        Arrivals second = new Arrivals(settings);
        int returns = 0;
        for (int i = 0; i < 100; i++) {
            LoadRequest request = first.nextRequest();
            assert request.equals(second.nextRequest());
            returns += request.turn() > 0 ? 1 : 0;
        }
        assert returns > 20 : returns;
    }
}
