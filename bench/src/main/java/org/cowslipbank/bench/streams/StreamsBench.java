package org.cowslipbank.bench.streams;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.AnswerAudit;

/** Checks for exactly one complete answer per request under faults (section 11 item 6 of the design page). */
public final class StreamsBench implements Bench {
    private static final int CRASH_RUNS = 5;

    /** Times of a change of guards after the first copy: before the first crash, at it and before the second crash. */
    private static final List<Long> GUARDS_CHANGE_DELAYS_MILLIS = List.of(60L, 160L, 400L);

    @Override
    public String name() {
        return "streams";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        long seed = options.seed();
        List<ScenarioOutcome> allMustComplete = new ArrayList<>();
        allMustComplete.add(FaultScenarios.deathBeforeFirstToken(seed));
        allMustComplete.add(FaultScenarios.deathAfterFirstToken(seed));
        allMustComplete.add(FaultScenarios.lostConnections(seed));
        allMustComplete.add(FaultScenarios.lateAndMisdelivered(seed));
        allMustComplete.add(FaultScenarios.silentConnections(seed));
        allMustComplete.add(FaultScenarios.silentDeath(seed));
        allMustComplete.add(FaultScenarios.slowReader(seed));
        allMustComplete.add(FaultScenarios.callerGone(seed));
        allMustComplete.add(FaultScenarios.weightSwap("swap_keeps_runs", seed, false, 0));
        allMustComplete.add(FaultScenarios.weightSwap("swap_drains", seed, true, 15_000));
        allMustComplete.add(HalvingScenario.run(seed));
        List<ScenarioOutcome> mustNotMisreport = new ArrayList<>();
        mustNotMisreport.add(FaultScenarios.weightSwap("swap_aborts_runs", seed, true, 0));
        mustNotMisreport.add(FaultScenarios.everything(seed));
        for (int run = 0; run < CRASH_RUNS; run++) {
            mustNotMisreport.add(CrashScenario.run(
                    "crash_in_prefill_" + run, seed * CRASH_RUNS + run, 0, CrashScenario.GUARDS_UNCHANGED));
            mustNotMisreport.add(CrashScenario.run(
                    "crash_in_decode_" + run, seed * CRASH_RUNS + run, 7, CrashScenario.GUARDS_UNCHANGED));
        }
        for (long changeMillis : GUARDS_CHANGE_DELAYS_MILLIS) {
            String name = "crash_guards_change_" + changeMillis;
            mustNotMisreport.add(CrashScenario.run(name, seed, 0, changeMillis));
        }
        return report(options, allMustComplete, mustNotMisreport);
    }

    private static BenchReport report(
            BenchOptions options, List<ScenarioOutcome> allMustComplete, List<ScenarioOutcome> mustNotMisreport) {
        List<Figure> figures = new ArrayList<>();
        AnswerAudit total = new AnswerAudit(0, 0, 0, 0, 0, 0, 0);
        for (ScenarioOutcome outcome : allMustComplete) {
            total = total.plus(outcome.audit());
            figures.add(outcome.boundedWholeShare());
            figures.addAll(outcome.figures());
        }
        for (ScenarioOutcome outcome : mustNotMisreport) {
            total = total.plus(outcome.audit());
            figures.add(outcome.unboundedWholeShare());
            figures.addAll(outcome.figures());
        }
        figures.add(Figure.unbounded("requests", total.requests()));
        figures.add(Figure.atMost("lost", total.lost(), 0));
        figures.add(Figure.atMost("doubled", total.duplicated(), 0));
        figures.add(Figure.atMost("misdelivered", total.misdelivered(), 0));
        figures.add(Figure.atMost("falsely_reported", total.wrongRunStates(), 0));
        figures.forEach(figure -> options.progress().accept(figure.toString()));
        return new BenchReport("streams", options.seed(), figures);
    }
}
