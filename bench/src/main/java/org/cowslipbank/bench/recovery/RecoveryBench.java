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
import org.cowslipbank.bench.routing.Sample;

/** Measures the time until returning prompts are served from retained cache again after a loss. */
public final class RecoveryBench implements Bench {
    private static final long BEFORE_MILLIS = 5 * 60_000;
    private static final long AFTER_MILLIS = 10 * 60_000;
    private static final long WINDOW_MILLIS = 60_000;
    private static final long STEP_MILLIS = 5_000;
    /** Service counts as restored once a window reaches this share of the cached share before the loss. */
    private static final double RESTORED_SHARE = 0.9;

    private static final int LOG_BOUND = 1_000;
    private static final int SHARDS_READ = 2;

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
                options.progress().accept("measured " + name);
            }
            addTraffic(prefix, undisturbed, figures);
            addPlatformCalls(prefix, undisturbed.nodes(), figures);
        }
        return new BenchReport(name(), options.seed(), figures);
    }

    private static void addLoss(String prefix, Result result, Result undisturbed, List<Figure> figures) {
        long lossMillis = RecoveryModel.LOSS_MILLIS;
        List<Sample> before = between(undisturbed, lossMillis - BEFORE_MILLIS, lossMillis);
        List<Sample> after = between(result, lossMillis, lossMillis + AFTER_MILLIS);
        List<Sample> same = between(undisturbed, lossMillis, lossMillis + AFTER_MILLIS);
        figures.add(Figure.info(prefix + "first_cached_prompt_seconds", firstCachedSeconds(after)));
        figures.add(Figure.info(prefix + "restored_seconds", restoredSeconds(result, cachedShare(before))));
        figures.add(Figure.info(prefix + "recomputed_share_10min", 1 - cachedShare(after)));
        figures.add(Figure.info(prefix + "recomputed_share_undisturbed", 1 - cachedShare(same)));
        figures.add(Figure.info(prefix + "p50_over_undisturbed", quantile(after, 0.5) / quantile(same, 0.5)));
        figures.add(Figure.info(prefix + "p95_over_undisturbed", quantile(after, 0.95) / quantile(same, 0.95)));
    }

    private static List<Sample> between(Result result, long fromMillis, long toMillis) {
        return result.samples().stream()
                .filter(sample -> sample.arrivalMillis() >= fromMillis && sample.arrivalMillis() < toMillis)
                .toList();
    }

    private static double cachedShare(List<Sample> samples) {
        long known = samples.stream().mapToLong(Sample::knownTokens).sum();
        long cached = samples.stream().mapToLong(Sample::cachedTokens).sum();
        return known == 0 ? 0 : cached / (double) known;
    }

    private static double quantile(List<Sample> samples, double quantile) {
        double[] millis = samples.stream().mapToDouble(Sample::firstTokenMillis).toArray();
        Arrays.sort(millis);
        return millis[(int) (quantile * (millis.length - 1))];
    }

    // From the loss until the first token of a prompt that arrived after it and was mostly not recomputed.
    private static double firstCachedSeconds(List<Sample> after) {
        double millis = after.stream()
                .filter(sample -> sample.cachedTokens() >= RESTORED_SHARE * sample.knownTokens())
                .mapToDouble(sample -> sample.arrivalMillis() + sample.firstTokenMillis() - RecoveryModel.LOSS_MILLIS)
                .min()
                .orElse(Double.NaN);
        return millis / 1_000;
    }

    private static double restoredSeconds(Result result, double shareBefore) {
        for (long from = RecoveryModel.LOSS_MILLIS;
                from + WINDOW_MILLIS <= RecoveryModel.END_MILLIS;
                from += STEP_MILLIS) {
            if (cachedShare(between(result, from, from + WINDOW_MILLIS)) >= RESTORED_SHARE * shareBefore) {
                return (from - RecoveryModel.LOSS_MILLIS) / 1_000.0;
            }
        }
        return Double.NaN;
    }

    // A replaced node has no memory of its own, so only a node that was paused or cut off can use the log.
    private static void addTraffic(String prefix, Result result, List<Figure> figures) {
        int sessions = (int) (result.sessions() / result.nodes());
        int blocks = (int) Math.max(1, result.blocks() / Math.max(1, result.sessions()));
        double updatesPerSecond = result.hintUpdates() * 1_000.0 / RecoveryModel.END_MILLIS / result.nodes();
        figures.add(Figure.info(prefix + "hints.sessions_per_node", sessions));
        figures.add(Figure.info(prefix + "hints.updates_per_second_per_node", updatesPerSecond));
        figures.add(Figure.info(prefix + "hints.lazy_bytes", 0));
        figures.add(Figure.info(
                prefix + "hints.snapshot_bytes", new HintTraffic(sessions, blocks, LOG_BOUND).snapshotBytes()));
        for (int absentSeconds : new int[] {10, 60, 600, 3_600}) {
            int missed = (int) (updatesPerSecond * absentSeconds);
            long bytes = new HintTraffic(sessions, blocks, LOG_BOUND).logBytes(missed);
            figures.add(Figure.info(prefix + "hints.log_bytes_after_" + absentSeconds + "s", bytes));
        }
    }

    // Root and watch per node; the shards once from the platform and then from peers, or by every node.
    private static void addPlatformCalls(String prefix, int nodes, List<Figure> figures) {
        figures.add(Figure.info(prefix + "all_nodes.platform_calls_with_peers", 2.0 * nodes + SHARDS_READ));
        figures.add(Figure.info(prefix + "all_nodes.platform_calls_without_peers", (2.0 + SHARDS_READ) * nodes));
        figures.add(Figure.info(prefix + "directory.platform_calls", 0));
    }
}
