package org.cowslipbank.bench.streams;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.virtual.Audit;

/** Exactly one complete answer through faults (section 11 item 6 of the design page). */
public final class StreamsBench implements Bench {
    private static final int CRASH_RUNS = 5;

    /** Changes of guards before the first crash, at it and before the second one, counted from the first copy. */
    private static final List<Long> GUARDS_CHANGE_MILLIS = List.of(60L, 160L, 400L);

    @Override
    public String name() {
        return "streams";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        long seed = options.seed();
        List<Outcome> whole = new ArrayList<>();
        whole.add(FaultScenarios.deathBeforeFirstToken(seed));
        whole.add(FaultScenarios.deathAfterFirstToken(seed));
        whole.add(FaultScenarios.lostConnections(seed));
        whole.add(FaultScenarios.lateAndMisdelivered(seed));
        whole.add(FaultScenarios.silentConnections(seed));
        whole.add(FaultScenarios.silentDeath(seed));
        whole.add(FaultScenarios.slowReader(seed));
        whole.add(FaultScenarios.callerGone(seed));
        whole.add(FaultScenarios.weightSwap("swap_keeps_runs", seed, false, 0));
        whole.add(FaultScenarios.weightSwap("swap_drains", seed, true, 15_000));
        whole.add(HalvingScenario.run(seed));
        List<Outcome> truthful = new ArrayList<>();
        truthful.add(FaultScenarios.weightSwap("swap_aborts_runs", seed, true, 0));
        truthful.add(FaultScenarios.everything(seed));
        for (int run = 0; run < CRASH_RUNS; run++) {
            truthful.add(CrashScenario.run("crash_in_prefill_" + run, seed * CRASH_RUNS + run, 0, CrashScenario.NEVER));
            truthful.add(CrashScenario.run("crash_in_decode_" + run, seed * CRASH_RUNS + run, 7, CrashScenario.NEVER));
        }
        for (long changeMillis : GUARDS_CHANGE_MILLIS) {
            String name = "crash_guards_change_" + changeMillis;
            truthful.add(CrashScenario.run(name, seed, 0, changeMillis));
        }
        return report(options, whole, truthful);
    }

    private static BenchReport report(BenchOptions options, List<Outcome> whole, List<Outcome> truthful) {
        List<Figure> figures = new ArrayList<>();
        Audit total = new Audit(0, 0, 0, 0, 0, 0, 0);
        for (Outcome outcome : whole) {
            total = total.plus(outcome.audit());
            figures.add(outcome.wholeShare());
            figures.addAll(outcome.figures());
        }
        for (Outcome outcome : truthful) {
            total = total.plus(outcome.audit());
            figures.add(outcome.wholeShareForInformation());
            figures.addAll(outcome.figures());
        }
        figures.add(Figure.info("requests", total.requests()));
        figures.add(Figure.atMost("lost", total.lost(), 0));
        figures.add(Figure.atMost("doubled", total.doubled(), 0));
        figures.add(Figure.atMost("misdelivered", total.misdelivered(), 0));
        figures.add(Figure.atMost("falsely_reported", total.falselyReported(), 0));
        figures.forEach(figure -> options.progress().accept(figure.toString()));
        return new BenchReport("streams", options.seed(), figures);
    }
}
