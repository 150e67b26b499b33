package org.cowslipbank.entry.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.config.DecisionWeights;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.decision.routing.FetchDecision;
import org.cowslipbank.decision.routing.FetchProgress;
import org.cowslipbank.decision.routing.FetchVerdict;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.ports.BlockReceipt;
import org.cowslipbank.ports.Engine;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;

/**
 * Fetches stored blocks into an engine. A block is usable only if its receipt matches its reference. The fetch stops at
 * the first mismatch, or when recomputing the remaining blocks is expected to be faster.
 */
final class BlockFetcher {
    private final StoreTable stores;
    private final DecisionRecorder recorder;
    private final MonotonicClock clock;

    BlockFetcher(StoreTable stores, MonotonicClock clock, DecisionRecorder recorder) {
        this.stores = stores;
        this.clock = clock;
        this.recorder = recorder;
    }

    /**
     * Fetches the planned blocks. A fetch that fails or stops early returns the blocks verified so far.
     *
     * @param engine the engine that imports the blocks
     * @param plan the blocks and the estimates for the prompt
     * @return the blocks that may be used, a prefix of the plan
     */
    Mono<List<BlockIdentity>> fetch(Engine engine, Plan plan) {
        if (plan.blocks().isEmpty()) {
            return Mono.just(List.of());
        }
        return Mono.create(sink -> new Fetch(plan, sink).start(engine));
    }

    /**
     * A fetch to carry out, with the time estimates that decide when to stop it.
     *
     * @param blocks the blocks in prompt order
     * @param store the store that holds them
     * @param queueMillis time the prompt waits in the engine's queue even without a fetch, in milliseconds
     * @param recomputeBlockMillis time to recompute one block, in milliseconds
     * @param promptRecomputeMillis time to compute the whole prompt without the store, in milliseconds
     * @param weights the deployment's cost weights
     */
    record Plan(
            List<BlockRef> blocks,
            StoreVm store,
            double queueMillis,
            double recomputeBlockMillis,
            double promptRecomputeMillis,
            DecisionWeights weights) {}

    private final class Fetch {
        private final Plan plan;
        private final MonoSink<List<BlockIdentity>> sink;
        private final List<BlockIdentity> verified = new ArrayList<>();
        private Disposable transfer;
        private Disposable timer;
        private final long startedNanos = System.nanoTime();
        private long firstBlockNanos = startedNanos;
        private long lastBlockNanos = startedNanos;
        private double expectedBlockMillis;
        private boolean finished;

        Fetch(Plan plan, MonoSink<List<BlockIdentity>> sink) {
            this.plan = plan;
            this.sink = sink;
        }

        synchronized void start(Engine engine) {
            stores.addQueued(plan.store(), remainingBytes());
            expectedBlockMillis = nextBlockBytes() * 1_000.0 / stores.bytesPerSecond(plan.store());
            sink.onDispose(this::cancel);
            transfer = engine.importBlocks(plan.blocks())
                    .subscribe(this::onReceipt, error -> onTransferEnd(true), () -> onTransferEnd(false));
            checkProgress();
        }

        private synchronized void onReceipt(BlockReceipt receipt) {
            if (finished) {
                return;
            }
            BlockRef expected = plan.blocks().get(verified.size());
            if (!receipt.matches(expected)) {
                finish();
                return;
            }
            long nowNanos = System.nanoTime();
            double elapsedMillis = Math.max(0.01, (nowNanos - lastBlockNanos) / 1e6);
            stores.recordReceived(plan.store(), expected.lengthBytes(), elapsedMillis);
            stores.addQueued(plan.store(), -expected.lengthBytes());
            firstBlockNanos = verified.isEmpty() ? nowNanos : firstBlockNanos;
            lastBlockNanos = nowNanos;
            verified.add(expected.identity());
            if (verified.size() == plan.blocks().size()) {
                finish();
            }
        }

        private synchronized void onTransferEnd(boolean failed) {
            if (failed && !finished) {
                stores.recordTimeout(plan.store(), nextBlockBytes(), sinceLastBlockMillis(), clock.nowMillis());
            }
            finish();
        }

        private synchronized void checkProgress() {
            if (finished) {
                return;
            }
            double elapsedMillis = (System.nanoTime() - startedNanos) / 1e6;
            FetchVerdict verdict = recorder.decide(
                    FetchDecision.OVERTAKE,
                    new FetchProgress(
                            plan.blocks().size(),
                            verified.size(),
                            expectedBlockMillis,
                            sinceFirstBlockMillis(),
                            linkSilentMillis(),
                            Math.max(0, plan.queueMillis() - elapsedMillis),
                            nextBlockBytes() * 1_000.0 / plan.store().linkBytesPerSecond(),
                            plan.recomputeBlockMillis(),
                            plan.promptRecomputeMillis(),
                            plan.weights()));
            if (verdict.linkSilent()) {
                stores.recordTimeout(plan.store(), nextBlockBytes(), sinceLastBlockMillis(), clock.nowMillis());
            }
            if (verdict.recomputeRest()) {
                finish();
                return;
            }
            long delayMicros = Math.max(1_000, (long) (verdict.checkAfterMillis() * 1_000));
            timer = Schedulers.parallel().schedule(this::checkProgress, delayMicros, TimeUnit.MICROSECONDS);
        }

        private synchronized void cancel() {
            if (!finished) {
                finish();
            }
        }

        private void finish() {
            if (finished) {
                return;
            }
            finished = true;
            stores.addQueued(plan.store(), -remainingBytes());
            if (timer != null) {
                timer.dispose();
            }
            if (transfer != null) {
                transfer.dispose();
            }
            sink.success(List.copyOf(verified));
        }

        private long nextBlockBytes() {
            return plan.blocks()
                    .get(Math.min(verified.size(), plan.blocks().size() - 1))
                    .lengthBytes();
        }

        private double sinceFirstBlockMillis() {
            return verified.isEmpty() ? 0 : (System.nanoTime() - firstBlockNanos) / 1e6;
        }

        private double sinceLastBlockMillis() {
            return Math.max(0.01, (System.nanoTime() - lastBlockNanos) / 1e6);
        }

        private double linkSilentMillis() {
            long silentSinceNanos = Math.max(startedNanos, stores.lastBlockNanos(plan.store()));
            return (System.nanoTime() - silentSinceNanos) / 1e6;
        }

        private long remainingBytes() {
            return plan.blocks().stream()
                    .skip(verified.size())
                    .mapToLong(BlockRef::lengthBytes)
                    .sum();
        }
    }
}
