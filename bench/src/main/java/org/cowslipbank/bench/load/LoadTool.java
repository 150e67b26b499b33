package org.cowslipbank.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.HdrHistogram.Histogram;
import org.cowslipbank.adapters.LineSplitter;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Sends streamed requests with open-loop arrivals to running nodes and measures the answers. */
public final class LoadTool {
    private static final int MAX_CONNECTIONS = 20_000;
    private static final int CLIENT_THREADS = 2;
    private static final long DRAIN_SECONDS = 15;
    private static final long DRAIN_POLL_MILLIS = 20;
    private static final double MICROS_PER_MILLI = 1_000;

    private final LoadSettings settings;
    private final StreamProtocol protocol;
    private final BiPredicate<String, String> answerCheck;
    private final LongSupplier linkBytes;
    private final List<LoadFault> faults;
    private final Consumer<String> progress;
    private final LoadStatistics statistics = new LoadStatistics();
    private final List<LoadResult.Second> seconds = new ArrayList<>();
    private final List<LoadResult.FaultMark> faultMarks = new ArrayList<>();
    private final Disposable.Composite streams = Disposables.composite();
    private LoadStatistics.Counts total = new LoadStatistics.Counts(0, 0, 0, 0, 0, 0, 0);
    private long totalTokens;
    private long totalLinkBytes;
    private long sampledLinkBytes;
    private long startNanos;

    /**
     * Creates the tool for nodes.
     *
     * @param settings settings of the load
     * @param answerCheck tests, given prompt and answer, whether the answer is correct
     * @param linkBytes returns the bytes that the links of the stores have carried so far; constant if unknown
     * @param faults faults to inject
     * @param progress receives one line per second and one per fault
     */
    public LoadTool(
            LoadSettings settings,
            BiPredicate<String, String> answerCheck,
            LongSupplier linkBytes,
            List<LoadFault> faults,
            Consumer<String> progress) {
        this(settings, new NodeProtocol(settings), answerCheck, linkBytes, faults, progress);
    }

    LoadTool(
            LoadSettings settings,
            StreamProtocol protocol,
            BiPredicate<String, String> answerCheck,
            LongSupplier linkBytes,
            List<LoadFault> faults,
            Consumer<String> progress) {
        this.settings = settings;
        this.protocol = protocol;
        this.answerCheck = answerCheck;
        this.linkBytes = linkBytes;
        this.faults = List.copyOf(faults);
        this.progress = progress;
    }

    /**
     * Runs the load. Must be called only once per instance.
     *
     * @return the result
     * @throws InterruptedException if the thread is interrupted; open streams are cancelled
     */
    public LoadResult run() throws InterruptedException {
        LoopResources loops = LoopResources.create("load", CLIENT_THREADS, true);
        ConnectionProvider connections = ConnectionProvider.builder("load")
                .maxConnections(MAX_CONNECTIONS)
                .pendingAcquireMaxCount(-1)
                .build();
        ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
        try {
            sampledLinkBytes = linkBytes.getAsLong();
            startNanos = System.nanoTime();
            faults.forEach(fault -> sampler.schedule(
                    () -> injectFault(fault), (long) (fault.atSeconds() * 1_000), TimeUnit.MILLISECONDS));
            sampler.scheduleAtFixedRate(this::takeSample, 1, 1, TimeUnit.SECONDS);
            sendAll(HttpClient.create(connections).runOn(loops));
            drain();
            // The sampler has one thread, so all earlier samples are complete and visible once this task is done.
            sampler.submit(() -> {}).get();
            return toResult();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException("sampling of the load run failed", e);
        } finally {
            sampler.shutdownNow();
            streams.dispose();
            connections.dispose();
            loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
        }
    }

    private void sendAll(HttpClient client) {
        Arrivals arrivals = new Arrivals(settings);
        long endNanos = TimeUnit.SECONDS.toNanos(settings.warmUpSeconds() + (long) settings.measureSeconds());
        LoadRequest request = arrivals.nextRequest();
        while (request.offsetNanos() < endNanos && !Thread.currentThread().isInterrupted()) {
            long intendedNanos = startNanos + request.offsetNanos();
            for (long wait = intendedNanos - System.nanoTime(); wait > 0; wait = intendedNanos - System.nanoTime()) {
                LockSupport.parkNanos(wait);
            }
            startStream(client, new StreamRun(request, protocol, statistics, answerCheck, intendedNanos));
            request = arrivals.nextRequest();
        }
    }

    private void startStream(HttpClient client, StreamRun run) {
        statistics.recordStart();
        StreamProtocol.Call call = protocol.toCall(run.request());
        streams.add(client.headers(headers -> {
                    headers.set("content-type", "application/json");
                    if (!call.authorization().isEmpty()) {
                        headers.set("authorization", call.authorization());
                    }
                })
                .post()
                .uri(call.url())
                .send(ByteBufFlux.fromString(Mono.just(call.body())))
                .response((response, content) -> {
                    run.setStatus(response.status().code());
                    // The body of a refusal is one JSON object that does not end with a line break.
                    return response.status().code() == StreamRun.HTTP_OK
                            ? LineSplitter.splitLines(content.asByteArray())
                            : content.aggregate()
                                    .asByteArray()
                                    .doOnNext(run::acceptRefusal)
                                    .then(Mono.<byte[]>empty());
                })
                .doFinally(signal -> run.finish(signal != reactor.core.publisher.SignalType.ON_COMPLETE))
                .subscribe(run::acceptLine, error -> {}));
    }

    private void drain() throws InterruptedException {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_SECONDS);
        while (statistics.inFlight() > 0 && System.nanoTime() < untilNanos) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
    }

    private void injectFault(LoadFault fault) {
        faultMarks.add(new LoadResult.FaultMark((System.nanoTime() - startNanos) / 1e9, fault.name()));
        progress.accept("fault: " + fault.name());
        fault.action().run();
    }

    private void takeSample() {
        int secondNumber = seconds.size() + 1;
        boolean measured = secondNumber > settings.warmUpSeconds()
                && secondNumber <= settings.warmUpSeconds() + settings.measureSeconds();
        LoadStatistics.Sample sample = statistics.takeSample(measured);
        long bytes = linkBytes.getAsLong() - sampledLinkBytes;
        sampledLinkBytes += bytes;
        if (measured) {
            total = total.plus(sample.counts());
            totalTokens += sample.tokens();
            totalLinkBytes += bytes;
        }
        LoadStatistics.Counts counts = sample.counts();
        LoadResult.Second second = new LoadResult.Second(
                secondNumber,
                measured,
                counts.answered(),
                counts.refused() + counts.failed(),
                sample.tokens(),
                sample.firstTokens().getValueAtPercentile(95) / MICROS_PER_MILLI,
                sample.gaps().getValueAtPercentile(95) / MICROS_PER_MILLI,
                counts.recomputedShare(),
                bytes);
        seconds.add(second);
        progress.accept(String.format(
                Locale.ROOT,
                "%3d s: %d answered, %d not, %d tokens, first token p95 %.1f ms, between tokens p95 %.1f ms",
                secondNumber,
                second.answered(),
                second.refusedOrFailed(),
                second.tokens(),
                second.firstTokenP95Millis(),
                second.betweenTokensP95Millis()));
    }

    private LoadResult toResult() {
        LoadStatistics.Counts all = statistics.counts();
        return new LoadResult(
                settings.measureSeconds(),
                all.started(),
                total.started(),
                all.answered(),
                all.wrong(),
                all.refused(),
                all.failed() + statistics.inFlight(),
                totalTokens,
                toLatency(statistics.firstTokens()),
                toLatency(statistics.gaps()),
                total.recomputedShare(),
                totalLinkBytes,
                seconds,
                faultMarks);
    }

    private static LoadResult.Latency toLatency(Histogram micros) {
        return new LoadResult.Latency(
                micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(99.9) / MICROS_PER_MILLI,
                micros.getMaxValue() / MICROS_PER_MILLI);
    }
}
