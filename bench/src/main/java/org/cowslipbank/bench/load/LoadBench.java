package org.cowslipbank.bench.load;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.cowslipbank.bench.Bench;
import org.cowslipbank.bench.BenchOptions;
import org.cowslipbank.bench.BenchReport;
import org.cowslipbank.bench.Figure;
import org.cowslipbank.standins.AnswerText;
import org.cowslipbank.standins.EngineSize;

/**
 * Measures the latency that a node adds to streams under load. One load goes through the node; at the same time a
 * second load, a tenth as large, goes directly to the same engines, so that both run under the same conditions.
 */
public final class LoadBench implements Bench {
    private static final double MIN_STREAMS_PER_SECOND = 300;
    private static final double DIRECT_RATE_SHARE = 0.1;
    private static final double MIN_TOKENS_PER_SECOND = 80_000;
    // Rounded up, so that the required rate of streams yields the required rate of tokens.
    private static final int TOKENS_PER_STREAM = 270;
    private static final double MAX_ADDED_FIRST_TOKEN_MILLIS = 2;
    private static final double MAX_ADDED_BETWEEN_TOKENS_MILLIS = 3;
    // Poisson arrivals vary over the measured time; 5% more is offered so that the required rates are reached.
    private static final double OFFERED_STREAMS_PER_SECOND = 1.05 * MIN_STREAMS_PER_SECOND;
    private static final int WARM_UP_SECONDS = 15;
    private static final int MEASURE_SECONDS = 20;
    private static final int PROMPT_BYTES = 6_000;
    private static final int ENGINES = 8;
    private static final EngineSize ENGINE_SIZE = new EngineSize(2_000_000, 20, 600, 1_000_000, 1, 300, 100, true);

    private final double streamsPerSecond;

    /** Creates the experiment at its default rate. */
    public LoadBench() {
        this(OFFERED_STREAMS_PER_SECOND);
    }

    LoadBench(double streamsPerSecond) {
        this.streamsPerSecond = streamsPerSecond;
    }

    @Override
    public String name() {
        return "load";
    }

    @Override
    public BenchReport run(BenchOptions options) throws Exception {
        ExecutorService directExecutor = Executors.newSingleThreadExecutor();
        try (LocalSystem system = new LocalSystem(ENGINES, ENGINE_SIZE, List.of())) {
            LoadSettings nodeLoad = settings(List.of(system.nodeAddress()), streamsPerSecond, options.seed());
            LoadSettings directLoad =
                    settings(system.engineAddresses(), DIRECT_RATE_SHARE * streamsPerSecond, options.seed() + 1);
            LoadTool direct = new LoadTool(
                    directLoad,
                    new EngineProtocol(directLoad, LocalSystem.MODEL),
                    LoadBench::isExpectedAnswer,
                    () -> 0,
                    List.of(),
                    line -> {});
            LoadTool throughNode =
                    new LoadTool(nodeLoad, LoadBench::isExpectedAnswer, () -> 0, List.of(), options.progress());
            long cpuNanosAtStart = cpuNanos();
            Future<LoadResult> directResult = directExecutor.submit(direct::run);
            LoadResult nodeResult = throughNode.run();
            List<Figure> figures = new ArrayList<>(toFigures(nodeResult, directResult.get()));
            double tokens = (double) nodeResult.answered() * TOKENS_PER_STREAM;
            figures.add(
                    Figure.unbounded("process_cpu_micros_per_token", (cpuNanos() - cpuNanosAtStart) / 1e3 / tokens));
            return new BenchReport(name(), options.seed(), figures);
        } finally {
            directExecutor.shutdownNow();
        }
    }

    // CPU time of node, stand-ins and load tool together; other load on the machine affects it less than latencies.
    private static long cpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static boolean isExpectedAnswer(String prompt, String answer) {
        return answer.equals(AnswerText.answer(prompt, TOKENS_PER_STREAM));
    }

    private static LoadSettings settings(List<String> addresses, double rate, long seed) {
        return new LoadSettings(
                addresses,
                LocalSystem.TEAMS,
                LocalSystem.MODEL.model(),
                rate,
                WARM_UP_SECONDS,
                MEASURE_SECONDS,
                PROMPT_BYTES,
                TOKENS_PER_STREAM,
                0,
                1,
                seed);
    }

    private static List<Figure> toFigures(LoadResult node, LoadResult direct) {
        return List.of(
                Figure.atLeast(
                        "streams_per_second", node.measuredRequests() / node.measuredSeconds(), MIN_STREAMS_PER_SECOND),
                Figure.atLeast("tokens_per_second", node.tokens() / node.measuredSeconds(), MIN_TOKENS_PER_SECOND),
                Figure.atMost("not_answered", (double) node.requests() - node.answered(), 0),
                Figure.atMost("wrong_answers", node.wrong(), 0),
                Figure.atMost(
                        "added_first_token_p99_millis",
                        node.firstToken().p99() - direct.firstToken().p99(),
                        MAX_ADDED_FIRST_TOKEN_MILLIS),
                Figure.atMost(
                        "added_between_tokens_p99_millis",
                        node.betweenTokens().p99() - direct.betweenTokens().p99(),
                        MAX_ADDED_BETWEEN_TOKENS_MILLIS),
                Figure.unbounded("refused", node.refused()),
                Figure.unbounded("failed", node.failed()),
                Figure.unbounded(
                        "node_first_token_p50_millis", node.firstToken().p50()),
                Figure.unbounded(
                        "node_first_token_p99_millis", node.firstToken().p99()),
                Figure.unbounded(
                        "direct_first_token_p50_millis", direct.firstToken().p50()),
                Figure.unbounded(
                        "direct_first_token_p99_millis", direct.firstToken().p99()),
                Figure.unbounded(
                        "node_between_tokens_p99_millis", node.betweenTokens().p99()),
                Figure.unbounded(
                        "direct_between_tokens_p99_millis",
                        direct.betweenTokens().p99()),
                Figure.unbounded(
                        "node_between_tokens_p999_millis", node.betweenTokens().p999()),
                Figure.unbounded(
                        "direct_between_tokens_p999_millis",
                        direct.betweenTokens().p999()),
                Figure.unbounded("direct_not_answered", (double) direct.requests() - direct.answered()));
    }
}
