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
import org.cowslipbank.model.Step;
import org.cowslipbank.ports.StoreStatus;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Exports the blocks of finished runs that are worth keeping. */
final class BlockExporter {
    private static final Logger LOG = LogManager.getLogger(BlockExporter.class);
    private static final long HORIZON_MILLIS = 24L * 60 * 60 * 1_000;
    private static final long MEMORY_HORIZON_MILLIS = 60L * 60 * 1_000;
    private static final double EXPORT_LIMIT_SHARE = 0.95;
    private static final double EVICT_TARGET_SHARE = 0.9;
    private static final double MAX_EXPORT_DELAY_MILLIS = 30_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long FIRST_BLOCK_BYTES_ESTIMATE = 64_000;

    private final TrafficContext context;
    private final BlockLocator locator;
    private final SessionGaps gaps = new SessionGaps();
    private final StoreEvictor evictor;
    private volatile long blockBytes = FIRST_BLOCK_BYTES_ESTIMATE;

    BlockExporter(TrafficContext context, BlockLocator locator) {
        this.context = context;
        this.locator = locator;
        this.evictor = new StoreEvictor(context, locator, gaps);
    }

    /** Notes that a session has sent a prompt. */
    void began(PromptRequest request) {
        gaps.began(request, context.clock().nowMillis());
    }

    /**
     * Exports the blocks of a finished run that the store does not hold.
     *
     * @param request the request
     * @param attempt the attempt that finished
     * @param placed where it ran
     */
    void export(PromptRequest request, AttemptId attempt, Placed placed) {
        gaps.ended(
                request,
                placed.chain(),
                recomputeBlockMillis(placed),
                context.clock().nowMillis());
        List<BlockIdentity> missing = missing(placed);
        Optional<StoreVm> store = missing.isEmpty() ? Optional.empty() : locator.storeFor(placed.chain());
        if (store.isEmpty()) {
            return;
        }
        status(store.get())
                .flatMapMany(status -> exportTo(request, attempt, placed, missing, store.get(), status))
                .doOnNext(this::exported)
                .subscribe(
                        ref -> {},
                        error -> LOG.info(LogFields.event("export failed")
                                .request(request.id())
                                .step(Step.EXPORT)
                                .peer(store.get().address())
                                .error(error)));
    }

    private Flux<BlockRef> exportTo(
            PromptRequest request,
            AttemptId attempt,
            Placed placed,
            List<BlockIdentity> missing,
            StoreVm store,
            StoreStatus status) {
        ExportInput input = input(request, placed, missing.size(), store, status);
        ExportOutcome outcome = context.recorder().decide(RetentionDecision.EXPORT, input);
        if (outcome.reason() == ExportOutcome.Reason.STORE_FULL) {
            makeRoom(store, status, missing.size());
        }
        if (outcome.blocks() == 0) {
            return Flux.empty();
        }
        return context.systems()
                .engine(placed.upstream().address())
                .exportBlocks(attempt, missing.subList(0, outcome.blocks()), store.id(), store.address());
    }

    private void makeRoom(StoreVm store, StoreStatus status, int blocks) {
        long aboveTarget = status.diskUsedBytes() - (long) (EVICT_TARGET_SHARE * status.diskCapacityBytes());
        long ownPart =
                Math.max(0, aboveTarget) / Math.max(1, context.fleet().nodes().size());
        evictor.makeRoom(store, Math.max(ownPart, blocks * blockBytes), blockBytes, HORIZON_MILLIS);
    }

    private ExportInput input(PromptRequest request, Placed placed, int blocks, StoreVm store, StoreStatus status) {
        double transferMillis =
                blockBytes * MILLIS_PER_SECOND / context.stores().peakBytesPerSecond(store);
        double linkUseMillis = blockBytes * MILLIS_PER_SECOND / store.linkBytesPerSecond();
        RetentionPolicy policy = new RetentionPolicy(
                HORIZON_MILLIS,
                MEMORY_HORIZON_MILLIS,
                EXPORT_LIMIT_SHARE,
                EVICT_TARGET_SHARE,
                context.configuration().get().configuration().weights());
        return new ExportInput(
                gaps.history(request.team().id()),
                request.hasSession(),
                blocks,
                blockBytes,
                recomputeBlockMillis(placed),
                transferMillis,
                linkUseMillis,
                0,
                MAX_EXPORT_DELAY_MILLIS,
                new TierSpace(status.memoryUsedBytes(), status.memoryCapacityBytes()),
                new TierSpace(status.diskUsedBytes(), status.diskCapacityBytes()),
                policy);
    }

    private double recomputeBlockMillis(Placed placed) {
        return context.upstreams()
                .load(placed.upstream().id(), context.clock().nowMillis())
                .map(load -> tokensPerBlock() * MILLIS_PER_SECOND / load.prefillTokensPerSecond())
                .orElse(0.0);
    }

    private int tokensPerBlock() {
        return context.settings().pieceBytes() / 4;
    }

    private Mono<StoreStatus> status(StoreVm store) {
        return context.systems().store(store.address()).status();
    }

    private void exported(BlockRef ref) {
        blockBytes = ref.lengthBytes();
        context.metrics().exportedBytes().inc(ref.lengthBytes());
    }

    private static List<BlockIdentity> missing(Placed placed) {
        Set<BlockIdentity> held = new HashSet<>();
        placed.retained().forEach(ref -> held.add(ref.identity()));
        return placed.chain().stream()
                .filter(identity -> !held.contains(identity))
                .toList();
    }
}
