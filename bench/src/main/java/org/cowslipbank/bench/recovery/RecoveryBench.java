package org.cowslipbank.bench.recovery;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;
import org.cowslipbank.bench.routing.RecoveryModel;
import org.cowslipbank.bench.routing.RecoveryModel.Loss;
import org.cowslipbank.bench.routing.RecoveryModel.Result;
import org.cowslipbank.bench.routing.ReturningPrompt;

/** Measures how long after a loss returning prompts are served from cached blocks again. */
public final class RecoveryBench implements Bench {
    private static final long REFERENCE_MILLIS = 5 * 60_000;
    private static final long MEASURED_AFTER_LOSS_MILLIS = 10 * 60_000;
    private static final long WINDOW_MILLIS = 60_000;
    private static final long WINDOW_STEP_MILLIS = 5_000;
    /** Recovery is complete once the cached share of a window reaches this fraction of its value before the loss. */
    private static final double RESTORED_FRACTION = 0.9;

    private static final int MAX_LOG_UPDATES = 1_000;
    private static final int CONFIGURATION_SHARDS_READ = 2;

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public BenchReport run(BenchOptions options) {
        List<Figure> figures = new ArrayList<>();
        for (boolean interactive : new boolean[] {true, false}) {
            String prefix = interactive ? "vacoas." : "confetes.";
            Result undisturbed = RecoveryModel.run(interactive, options.seed(), Loss.NONE, false);
            for (Loss loss : Loss.values()) {
                Result lazy = RecoveryModel.run(interactive, options.seed(), loss, false);
                Result replicated = RecoveryModel.run(interactive, options.seed(), loss, true);
                String name = prefix + loss.name().toLowerCase(Locale.ROOT) + ".";
                addLoss(name + "lazy.", lazy, undisturbed, figures);
                addLoss(name + "replicated.", replicated, undisturbed, figures);
                options.progress().accept("recovery: measured " + name);
            }
            addHintTraffic(prefix, undisturbed, figures);
            addPlatformCalls(prefix, undisturbed.nodes(), figures);
        }
        return new BenchReport(name(), options.seed(), figures);
    }

    private static void addLoss(String prefix, Result result, Result undisturbed, List<Figure> figures) {
        long lossMillis = RecoveryModel.LOSS_MILLIS;
        List<ReturningPrompt> before = promptsBetween(undisturbed, lossMillis - REFERENCE_MILLIS, lossMillis);
        List<ReturningPrompt> after = promptsBetween(result, lossMillis, lossMillis + MEASURED_AFTER_LOSS_MILLIS);
        List<ReturningPrompt> undisturbedAfter =
                promptsBetween(undisturbed, lossMillis, lossMillis + MEASURED_AFTER_LOSS_MILLIS);
        figures.add(Figure.unbounded(prefix + "first_cached_prompt_seconds", firstCachedPromptSeconds(after)));
        figures.add(Figure.unbounded(prefix + "restored_seconds", restoredSeconds(result, cachedShare(before))));
        figures.add(Figure.unbounded(prefix + "recomputed_share_10min", 1 - cachedShare(after)));
        figures.add(Figure.unbounded(prefix + "recomputed_share_undisturbed", 1 - cachedShare(undisturbedAfter)));
        figures.add(Figure.unbounded(
                prefix + "p50_over_undisturbed",
                firstTokenQuantile(after, 0.5) / firstTokenQuantile(undisturbedAfter, 0.5)));
        figures.add(Figure.unbounded(
                prefix + "p95_over_undisturbed",
                firstTokenQuantile(after, 0.95) / firstTokenQuantile(undisturbedAfter, 0.95)));
    }

    private static List<ReturningPrompt> promptsBetween(Result result, long fromMillis, long toMillis) {
        return result.returningPrompts().stream()
                .filter(prompt -> prompt.arrivalMillis() >= fromMillis && prompt.arrivalMillis() < toMillis)
                .toList();
    }

    private static double cachedShare(List<ReturningPrompt> prompts) {
        long reusable =
                prompts.stream().mapToLong(ReturningPrompt::reusableTokens).sum();
        long cached = prompts.stream().mapToLong(ReturningPrompt::cachedTokens).sum();
        return reusable == 0 ? 0 : cached / (double) reusable;
    }

    private static double firstTokenQuantile(List<ReturningPrompt> prompts, double quantile) {
        double[] millis =
                prompts.stream().mapToDouble(ReturningPrompt::firstTokenMillis).toArray();
        Arrays.sort(millis);
        return millis[(int) (quantile * (millis.length - 1))];
    }

    // Seconds from the loss to the first token of a prompt that arrived after it and mostly came from cached blocks.
    private static double firstCachedPromptSeconds(List<ReturningPrompt> after) {
        double millis = after.stream()
                .filter(prompt -> prompt.cachedTokens() >= RESTORED_FRACTION * prompt.reusableTokens())
                .mapToDouble(prompt -> prompt.arrivalMillis() + prompt.firstTokenMillis() - RecoveryModel.LOSS_MILLIS)
                .min()
                .orElse(Double.NaN);
        return millis / 1_000;
    }

    private static double restoredSeconds(Result result, double shareBefore) {
        for (long from = RecoveryModel.LOSS_MILLIS;
                from + WINDOW_MILLIS <= RecoveryModel.END_MILLIS;
                from += WINDOW_STEP_MILLIS) {
            if (cachedShare(promptsBetween(result, from, from + WINDOW_MILLIS)) >= RESTORED_FRACTION * shareBefore) {
                return (from - RecoveryModel.LOSS_MILLIS) / 1_000.0;
            }
        }
        return Double.NaN;
    }

    // A replaced node starts with empty memory, so only a node that was paused or partitioned can use the log.
    private static void addHintTraffic(String prefix, Result result, List<Figure> figures) {
        int sessions = (int) (result.retainedSessions() / result.nodes());
        int blocks = (int) Math.max(1, result.retainedBlocks() / Math.max(1, result.retainedSessions()));
        double updatesPerSecond = result.hintUpdates() * 1_000.0 / RecoveryModel.END_MILLIS / result.nodes();
        figures.add(Figure.unbounded(prefix + "hints.sessions_per_node", sessions));
        figures.add(Figure.unbounded(prefix + "hints.updates_per_second_per_node", updatesPerSecond));
        figures.add(Figure.unbounded(prefix + "hints.lazy_bytes", 0));
        figures.add(Figure.unbounded(
                prefix + "hints.snapshot_bytes", new HintTraffic(sessions, blocks, MAX_LOG_UPDATES).snapshotBytes()));
        for (int absentSeconds : new int[] {10, 60, 600, 3_600}) {
            int missed = (int) (updatesPerSecond * absentSeconds);
            long bytes = new HintTraffic(sessions, blocks, MAX_LOG_UPDATES).catchUpBytes(missed);
            figures.add(Figure.unbounded(prefix + "hints.log_bytes_after_" + absentSeconds + "s", bytes));
        }
    }

    // Each node reads the root and opens a watch. Either one node reads the shards and the others take them from peers,
    // or every node reads them.
    private static void addPlatformCalls(String prefix, int nodes, List<Figure> figures) {
        figures.add(Figure.unbounded(
                prefix + "all_nodes.platform_calls_with_peers", 2.0 * nodes + CONFIGURATION_SHARDS_READ));
        figures.add(Figure.unbounded(
                prefix + "all_nodes.platform_calls_without_peers", (2.0 + CONFIGURATION_SHARDS_READ) * nodes));
        figures.add(Figure.unbounded(prefix + "directory.platform_calls", 0));
    }
}
