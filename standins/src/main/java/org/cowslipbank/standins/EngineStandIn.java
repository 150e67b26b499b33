package org.cowslipbank.standins;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.adapters.EngineWire;
import org.cowslipbank.adapters.KeyValueWire;
import org.cowslipbank.adapters.WireJson;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.PromptChain;
import org.cowslipbank.ports.BlockReceipt;
import org.cowslipbank.ports.CacheEvent;
import org.cowslipbank.ports.CommandAnswer;
import org.cowslipbank.ports.EngineCommand;
import org.cowslipbank.ports.EngineEvent;
import org.cowslipbank.ports.EngineLoad;
import org.cowslipbank.ports.EngineRole;
import org.cowslipbank.ports.GenerateCall;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRoutes;

/** Stand-in for a model engine: continuous batching, prefix cache, stream resume, and block import and export. */
public final class EngineStandIn implements StandIn {
    /** A prompt that contains this text crashes the engine that runs it. */
    public static final String CRASH_MARKER = "[[crash-engine]]";

    private static final int BYTES_PER_TOKEN = 4;
    /** Time after which a run without a listener is cancelled. */
    private static final long ORPHAN_TIMEOUT_MILLIS = 5_000;

    private static final long HEARTBEAT_MILLIS = 500;
    private static final int MAX_STAGED_BLOCKS = 4_096;
    private static final int MAX_RETAINED_RUNS = 4_096;
    // Cache events are delayed and every tenth is dropped, as nodes must tolerate late and lost events.
    private static final long CACHE_EVENT_DELAY_MILLIS = 300;
    private static final int DROPPED_EVENT_INTERVAL = 10;

    private final EngineSize size;
    private final String host;
    private final BlockTransfer transfer = new BlockTransfer();
    private final EngineCache cache;
    private final Map<BlockKey, byte[]> stagedData = bounded(MAX_STAGED_BLOCKS);
    private final Map<AttemptId, EngineRun> runs = bounded(MAX_RETAINED_RUNS);
    private final List<EngineRun> batch = new ArrayList<>();
    private final List<EngineRun> queue = new ArrayList<>();
    private final Sinks.Many<CacheEvent> cacheEvents = Sinks.many().multicast().directBestEffort();
    private final EngineCounters counters = new EngineCounters();
    private final ScheduledFuture<?> stepping;
    private final int port;
    private JsonHttpServer server;
    private ModelRef loaded;
    private ModelRef loading;
    private long loadingUntilMillis;
    private EngineRole role = EngineRole.SERVING;
    private long highestFencingToken;
    private EngineLoad report;
    private long reportedAtMillis;
    private long cacheEventSequence;

    /**
     * Starts the stand-in.
     *
     * @param host the IP address to listen on
     * @param port the port, zero for any
     * @param size speed and capacity
     * @param loaded model and weight version loaded at the start
     * @param steps executor of the batch steps, shared between stand-ins
     */
    public EngineStandIn(String host, int port, EngineSize size, ModelRef loaded, ScheduledExecutorService steps) {
        this.size = size;
        this.host = host;
        this.loaded = loaded;
        this.cache = new EngineCache(size.cacheTokens());
        this.report = currentLoad(0);
        this.server = new JsonHttpServer(host, port, this::addRoutes);
        this.port = Integer.parseInt(server.address().substring(server.address().lastIndexOf(':') + 1));
        this.stepping =
                steps.scheduleAtFixedRate(this::step, size.stepMillis(), size.stepMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the event counters.
     *
     * @return the counters
     */
    public EngineCounters counters() {
        return counters;
    }

    /** Crashes the engine: closes all connections and loses all runs and cached data. */
    public void crash() {
        server.close();
        synchronized (this) {
            batch.clear();
            queue.clear();
            runs.clear();
            stagedData.clear();
            cache.clear();
        }
    }

    /** Restarts a crashed engine at the same address. */
    public void restart() {
        server = new JsonHttpServer(host, port, this::addRoutes);
    }

    /** Stops sending on all open streams without closing them; new connections work. */
    public synchronized void muteOpenStreams() {
        batch.forEach(EngineRun::dropListeners);
        queue.forEach(EngineRun::dropListeners);
    }

    /** Evicts everything from the prefix cache and the imported blocks. */
    public synchronized void evictAll() {
        cache.clear();
        stagedData.clear();
    }

    @Override
    public String address() {
        return host + ":" + port;
    }

    @Override
    public void close() {
        stepping.cancel(false);
        server.close();
        transfer.close();
    }

    private void addRoutes(HttpServerRoutes routes) {
        JsonHttpServer.postForLines(routes, "/engine/generate", GenerateCall.class, this::generate);
        JsonHttpServer.postForLines(routes, "/engine/resume", EngineWire.AttemptCall.class, this::resume);
        JsonHttpServer.post(routes, "/engine/cancel", EngineWire.AttemptCall.class, this::cancel);
        JsonHttpServer.postForLines(routes, "/engine/import", EngineWire.ImportCall.class, this::importBlocks);
        JsonHttpServer.postForLines(routes, "/engine/export", EngineWire.ExportCall.class, this::exportBlocks);
        JsonHttpServer.post(routes, "/engine/order", EngineCommand.class, this::acceptCommand);
        routes.get("/engine/load", (request, response) -> response.header("content-type", "application/json")
                .sendByteArray(Mono.fromSupplier(() -> WireJson.write(laggingLoadReport()))));
        routes.get(
                "/engine/cache-events",
                (request, response) -> JsonHttpServer.sendLines(
                        response, cacheEvents.asFlux().delayElements(Duration.ofMillis(CACHE_EVENT_DELAY_MILLIS))));
    }

    private Flux<EngineEvent> generate(GenerateCall call) {
        if (call.prompt().contains(CRASH_MARKER)) {
            counters.addCrash();
            crash();
            return Flux.never();
        }
        return Flux.create(sink -> enqueueRun(call, sink));
    }

    private synchronized void enqueueRun(GenerateCall call, FluxSink<EngineEvent> sink) {
        if (loading != null || !loaded.model().equals(call.model().model())) {
            sink.error(new StatusException(503));
            return;
        }
        EngineRun run = newRun(call);
        runs.put(call.attempt(), run);
        counters.addRun(run.computedTokens());
        int position = 0;
        while (position < queue.size() && queue.get(position).call().priority() >= call.priority()) {
            position++;
        }
        queue.add(position, run);
        attach(run, sink, 0);
    }

    private EngineRun newRun(GenerateCall call) {
        int promptBytes = call.prompt().getBytes(StandardCharsets.UTF_8).length;
        int promptTokens = (promptBytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
        int pieceTokens = call.pieceBytes() / BYTES_PER_TOKEN;
        List<BlockIdentity> identities = ownIdentities(call);
        int pieces = 0;
        int importedPieces = 0;
        while (pieces < identities.size()) {
            boolean cached = cache.contains(identities.get(pieces).key());
            boolean usable = cached || isStaged(call, pieces, identities.get(pieces));
            if (!usable) {
                break;
            }
            importedPieces += cached ? 0 : 1;
            pieces++;
        }
        return new EngineRun(call, loaded, promptTokens, pieces * pieceTokens, importedPieces * pieceTokens);
    }

    private boolean isStaged(GenerateCall call, int piece, BlockIdentity identity) {
        for (BlockIdentity block : call.stagedBlocks()) {
            byte[] data = block.pieceIndex() == piece ? stagedData.get(block.key()) : null;
            if (data == null) {
                continue;
            }
            // The data contains the key of its source content, which reveals a block of another prompt, team or
            // version.
            if (!BlockData.isComputedFrom(data, identity)) {
                counters.addForeignBlock();
            }
            return true;
        }
        return false;
    }

    // The engine's own keys are salted per team; they also identify the true content of a block.
    private List<BlockIdentity> ownIdentities(GenerateCall call) {
        return PromptChain.identities(
                call.cacheSalt().getBytes(StandardCharsets.UTF_8),
                call.team(),
                loaded,
                call.prompt().getBytes(StandardCharsets.UTF_8),
                call.pieceBytes());
    }

    private Flux<EngineEvent> resume(EngineWire.AttemptCall call) {
        return Flux.create(sink -> {
            synchronized (this) {
                EngineRun run = runs.get(call.attempt());
                if (run == null) {
                    sink.error(new StatusException(404));
                    return;
                }
                attach(run, sink, call.fromToken());
            }
        });
    }

    private void attach(EngineRun run, FluxSink<EngineEvent> sink, int fromToken) {
        run.attach(sink, fromToken, nowMillis());
        sink.onDispose(() -> detach(run, sink));
    }

    private synchronized void detach(EngineRun run, FluxSink<EngineEvent> sink) {
        run.detach(sink);
    }

    private Mono<KeyValueWire.Acknowledgement> cancel(EngineWire.AttemptCall call) {
        return Mono.fromSupplier(() -> {
            synchronized (this) {
                EngineRun run = runs.get(call.attempt());
                if (run == null || run.isFinished()) {
                    return new KeyValueWire.Acknowledgement(false);
                }
                run.cancel();
                counters.addCancelled();
                return new KeyValueWire.Acknowledgement(true);
            }
        });
    }

    private Flux<BlockReceipt> importBlocks(EngineWire.ImportCall call) {
        return Flux.range(0, call.blocks().size())
                .concatMap(index -> transfer.read(
                        call.blocks().get(index), call.storeAddresses().get(index)))
                .map(received -> {
                    synchronized (this) {
                        stagedData.put(received.receipt().identity().key(), received.data());
                    }
                    return received.receipt();
                });
    }

    private Flux<BlockRef> exportBlocks(EngineWire.ExportCall call) {
        return Flux.fromIterable(exportableBlocks(call))
                .concatMap(block -> transfer.write(block.identity(), block.data(), call.storeAddress()));
    }

    private synchronized List<ExportBlock> exportableBlocks(EngineWire.ExportCall call) {
        EngineRun run = runs.get(call.attempt());
        if (run == null || !run.loadedModel().equals(loaded)) {
            return List.of();
        }
        List<BlockIdentity> identities = ownIdentities(run.call());
        int pieceTokens = run.call().pieceBytes() / BYTES_PER_TOKEN;
        List<ExportBlock> blocks = new ArrayList<>();
        for (BlockIdentity wanted : call.blocks()) {
            BlockIdentity identity = identities.get(wanted.pieceIndex());
            if (cache.contains(identity.key())) {
                blocks.add(new ExportBlock(wanted, BlockData.create(identity, pieceTokens * size.kvBytesPerToken())));
            }
        }
        return blocks;
    }

    private Mono<CommandAnswer> acceptCommand(EngineCommand command) {
        return Mono.fromSupplier(() -> {
            synchronized (this) {
                boolean staleToken = command.fencingToken() < highestFencingToken;
                if (staleToken && size.refusesOldFencingTokens()) {
                    return new CommandAnswer(false, loaded, role);
                }
                highestFencingToken = Math.max(highestFencingToken, command.fencingToken());
                role = command.role();
                if (!command.target().equals(loaded) && !command.target().equals(loading)) {
                    loading = command.target();
                    loadingUntilMillis = nowMillis() + size.weightLoadMillis();
                    counters.addWeightLoad();
                }
                return new CommandAnswer(true, loaded, role);
            }
        });
    }

    private synchronized void step() {
        long nowMillis = nowMillis();
        finishLoading(nowMillis);
        moveQueuedRunsToBatch();
        prefill(nowMillis);
        for (EngineRun run : List.copyOf(batch)) {
            if (run.updateAndCheckOrphaned(nowMillis, ORPHAN_TIMEOUT_MILLIS)) {
                run.cancel();
                counters.addCancelled();
            }
            if (run.isDecoding()) {
                run.generateToken(nowMillis);
            }
        }
        batch.removeIf(EngineRun::isFinished);
        queue.removeIf(EngineRun::isFinished);
        batch.forEach(run -> run.sendHeartbeatIfIdle(nowMillis, HEARTBEAT_MILLIS));
        queue.forEach(run -> run.sendHeartbeatIfIdle(nowMillis, HEARTBEAT_MILLIS));
    }

    private void finishLoading(long nowMillis) {
        if (loading == null || nowMillis < loadingUntilMillis) {
            return;
        }
        loaded = loading;
        loading = null;
        cache.clear();
    }

    private void moveQueuedRunsToBatch() {
        while (batch.size() < size.slots() && !queue.isEmpty()) {
            batch.add(queue.remove(0));
        }
    }

    private void prefill(long nowMillis) {
        double budgetTokens = size.prefillTokensPerSecond() * size.stepMillis() / 1_000.0;
        for (EngineRun run : batch) {
            if (run.isDecoding() || run.isFinished()) {
                continue;
            }
            budgetTokens -= run.prefill(budgetTokens);
            if (run.prefillTokensLeft() > 0) {
                return;
            }
            run.startDecoding(nowMillis);
            cachePrompt(run);
        }
    }

    private void cachePrompt(EngineRun run) {
        if (!run.loadedModel().equals(loaded)) {
            return;
        }
        int pieceTokens = run.call().pieceBytes() / BYTES_PER_TOKEN;
        for (BlockIdentity identity : ownIdentities(run.call())) {
            for (BlockKey evicted : cache.add(identity.key(), pieceTokens)) {
                publishCacheEvent(evicted, false);
            }
            publishCacheEvent(identity.key(), true);
        }
    }

    private void publishCacheEvent(BlockKey key, boolean present) {
        cacheEventSequence++;
        if (cacheEventSequence % DROPPED_EVENT_INTERVAL != 0) {
            cacheEvents.tryEmitNext(new CacheEvent(cacheEventSequence, key, present));
        }
    }

    private synchronized EngineLoad laggingLoadReport() {
        long nowMillis = nowMillis();
        if (nowMillis - reportedAtMillis >= size.reportLagMillis()) {
            report = currentLoad(0);
            reportedAtMillis = nowMillis;
        }
        return new EngineLoad(
                report.running(),
                report.waiting(),
                report.waitingPromptTokens(),
                report.prefillTokensPerSecond(),
                report.slots(),
                report.loaded(),
                report.role(),
                report.loading(),
                nowMillis - reportedAtMillis);
    }

    private EngineLoad currentLoad(long ageMillis) {
        double waitingTokens = queue.stream()
                        .mapToDouble(EngineRun::prefillTokensLeft)
                        .sum()
                + batch.stream().mapToDouble(EngineRun::prefillTokensLeft).sum();
        return new EngineLoad(
                batch.size(),
                queue.size(),
                (long) waitingTokens,
                size.prefillTokensPerSecond(),
                size.slots(),
                loaded,
                role,
                loading != null,
                ageMillis);
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private static <K, V> Map<K, V> bounded(int capacity) {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > capacity;
            }
        };
    }

    private record ExportBlock(BlockIdentity identity, byte[] data) {}
}
