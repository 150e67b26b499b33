package org.cowslipbank.entry.traffic;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.config.StoreVm;
import org.cowslipbank.decision.retention.ExportInput;
import org.cowslipbank.decision.retention.ExportOutcome;
import org.cowslipbank.decision.retention.RetentionDecision;
import org.cowslipbank.decision.retention.RetentionPolicy;
import org.cowslipbank.decision.retention.TierSpace;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.AttemptId;
import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.ports.StoreStatus;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Exports blocks of finished runs from the engines to the stores if they are worth keeping. */
final class BlockExporter {
    private static final Logger LOG = LogManager.getLogger(BlockExporter.class);
    // A return that is expected later than this adds no value to a block.
    private static final long RETURN_HORIZON_MILLIS = 24L * 60 * 60 * 1_000;
    private static final long MEMORY_TIER_HORIZON_MILLIS = 60L * 60 * 1_000;
    private static final double EXPORT_LIMIT_SHARE = 0.95;
    private static final double EVICT_TARGET_SHARE = 0.9;
    private static final double MAX_EXPORT_DELAY_MILLIS = 30_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long INITIAL_BLOCK_BYTES = 64_000;

    private final TrafficContext context;
    private final BlockLocator locator;
    private final SessionGapTracker gaps = new SessionGapTracker();
    private final StoreEvictor evictor;
    private volatile long blockBytes = INITIAL_BLOCK_BYTES;

    BlockExporter(TrafficContext context, BlockLocator locator) {
        this.context = context;
        this.locator = locator;
        this.evictor = new StoreEvictor(context, locator, gaps);
    }

    /** Records that a session has sent a prompt. */
    void recordPromptStart(PromptRequest request) {
        gaps.recordPromptStart(request, context.clock().nowMillis());
    }

    /**
     * Exports the blocks of a finished run that the store does not hold. Returns at once; failures are only logged.
     *
     * @param request the request
     * @param attempt the attempt that finished
     * @param routed where it ran
     */
    void export(PromptRequest request, AttemptId attempt, RoutedPrompt routed) {
        gaps.recordRunEnd(
                request,
                routed.chain(),
                recomputeBlockMillis(routed),
                context.clock().nowMillis());
        List<BlockIdentity> missing = blocksNotStored(routed);
        Optional<StoreVm> store = missing.isEmpty() ? Optional.empty() : locator.storeFor(routed.chain());
        if (store.isEmpty()) {
            return;
        }
        fetchStatus(store.get())
                .flatMapMany(status -> exportTo(request, attempt, routed, missing, store.get(), status))
                .doOnNext(this::recordExport)
                .subscribe(
                        ref -> {},
                        error -> LOG.info(LogFields.event("block export failed")
                                .request(request.id())
                                .step(ProcessingStep.EXPORT)
                                .peer(store.get().address())
                                .error(error)));
    }

    private Flux<BlockRef> exportTo(
            PromptRequest request,
            AttemptId attempt,
            RoutedPrompt routed,
            List<BlockIdentity> missing,
            StoreVm store,
            StoreStatus status) {
        ExportInput input = exportInput(request, routed, missing.size(), store, status);
        ExportOutcome outcome = context.recorder().decide(RetentionDecision.EXPORT, input);
        if (outcome.reason() == ExportOutcome.Reason.STORE_FULL) {
            evict(store, status, missing.size());
        }
        if (outcome.blocks() == 0) {
            return Flux.empty();
        }
        return context.systems()
                .engine(routed.upstream().address())
                .exportBlocks(attempt, missing.subList(0, outcome.blocks()), store.id(), store.address());
    }

    private void evict(StoreVm store, StoreStatus status, int blocks) {
        long bytesAboveTarget = status.diskUsedBytes() - (long) (EVICT_TARGET_SHARE * status.diskCapacityBytes());
        long ownShareBytes = Math.max(0, bytesAboveTarget)
                / Math.max(1, context.fleet().nodes().size());
        evictor.evict(store, Math.max(ownShareBytes, blocks * blockBytes), blockBytes, RETURN_HORIZON_MILLIS);
    }

    private ExportInput exportInput(
            PromptRequest request, RoutedPrompt routed, int blocks, StoreVm store, StoreStatus status) {
        double transferMillis =
                blockBytes * MILLIS_PER_SECOND / context.stores().peakBytesPerSecond(store);
        double linkUseMillis = blockBytes * MILLIS_PER_SECOND / store.linkBytesPerSecond();
        RetentionPolicy policy = new RetentionPolicy(
                RETURN_HORIZON_MILLIS,
                MEMORY_TIER_HORIZON_MILLIS,
                EXPORT_LIMIT_SHARE,
                EVICT_TARGET_SHARE,
                context.configuration().get().configuration().weights());
        return new ExportInput(
                gaps.history(request.team().id()),
                request.hasSession(),
                blocks,
                blockBytes,
                recomputeBlockMillis(routed),
                transferMillis,
                linkUseMillis,
                0,
                MAX_EXPORT_DELAY_MILLIS,
                new TierSpace(status.memoryUsedBytes(), status.memoryCapacityBytes()),
                new TierSpace(status.diskUsedBytes(), status.diskCapacityBytes()),
                policy);
    }

    private double recomputeBlockMillis(RoutedPrompt routed) {
        return context.upstreams()
                .load(routed.upstream().id(), context.clock().nowMillis())
                .map(load -> tokensPerBlock() * MILLIS_PER_SECOND / load.prefillTokensPerSecond())
                .orElse(0.0);
    }

    private int tokensPerBlock() {
        // Estimate: four bytes of prompt text per token.
        return context.settings().pieceBytes() / 4;
    }

    private Mono<StoreStatus> fetchStatus(StoreVm store) {
        return context.systems().store(store.address()).status();
    }

    private void recordExport(BlockRef ref) {
        blockBytes = ref.lengthBytes();
        context.metrics().exportedBytes().inc(ref.lengthBytes());
    }

    private static List<BlockIdentity> blocksNotStored(RoutedPrompt routed) {
        Set<BlockIdentity> stored = new HashSet<>();
        routed.retained().forEach(ref -> stored.add(ref.identity()));
        return routed.chain().stream()
                .filter(identity -> !stored.contains(identity))
                .toList();
    }
}
