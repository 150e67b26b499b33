package org.cowslipbank.entry.claims;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;

import org.cowslipbank.decision.claims.ClaimKey;
import org.cowslipbank.decision.claims.ClaimOutcome;
import org.cowslipbank.decision.claims.ClaimOutcome.Kind;
import org.cowslipbank.decision.claims.ClaimSettings;
import org.cowslipbank.decision.claims.ClaimTime;
import org.cowslipbank.decision.claims.PartitionRequest;
import org.cowslipbank.decision.claims.StoredAnswer;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.KeyValueStore;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/**
 * At-most-once execution of non-repeatable requests at a node.
 *
 * <p>A caller of {@link #claim} may send the request only on {@link Kind#GRANTED}, once per claim, and then calls
 * {@link #finish}, or {@link #release} if the request certainly did not reach the service. All other outcomes are
 * reported to the request's caller.
 */
public final class ClaimService {
    /** Deadline of a claim in milliseconds; a claim without outcome by then is answered as unknown and released. */
    public static final long CLAIM_DEADLINE_MILLIS = 6_000;

    private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(2_500);
    private static final long RECORD_RETRIES = 60;
    private static final Duration RECORD_BACKOFF = Duration.ofMillis(200);
    private static final Duration RECORD_MAX_BACKOFF = Duration.ofSeconds(5);
    private static final long BUSY_TICK_MILLIS = 5;
    private static final long IDLE_TICK_MILLIS = 100;
    private static final long PAUSE_THRESHOLD_MILLIS = 2_000;
    // A log write of an earlier process on the same VM may still take effect this long after that process ended.
    private static final long LATE_WRITE_MILLIS = 10_000;

    private enum Delivery {
        PENDING,
        DELIVERED,
        ABANDONED
    }

    private final VmId self;
    private final ClaimSettings settings;
    private final KeyValueStore store;
    private final PartitionOwners owners;
    private final ClaimForwarder forwarder;
    private final PeerSequenceQuery sequenceQuery;
    private final Scheduler scheduler;
    private final Supplier<ClaimTime> clock;
    private final String incarnation;
    private final AtomicLong tokens = new AtomicLong();
    private final Map<ClaimKey, String> grantedTokens = new ConcurrentHashMap<>();
    // Only the scheduler's thread uses the fields below.
    private final Map<Integer, PartitionWorker> workers = new HashMap<>();
    private final Map<Integer, Long> highestSequenceOfDiscarded = new HashMap<>();
    private long startedMillis;
    private long lastTickMillis;
    private long nextTickMillis;
    private Disposable scheduledTick = () -> {};

    /**
     * Creates a service; it does nothing before {@link #start()}.
     *
     * @param node identity and settings of this node
     * @param store the region's key-value service, limited by the platform budget at claims priority
     * @param peers access to the other nodes
     * @param scheduler a scheduler with a single thread, which owns the claims' state
     * @param clock reads the node's wall clock and monotonic clock
     */
    public ClaimService(
            ClaimNode node, KeyValueStore store, ClaimPeers peers, Scheduler scheduler, Supplier<ClaimTime> clock) {
        this.self = node.self();
        this.incarnation = self + "." + node.incarnation();
        this.settings = node.settings();
        this.store = store;
        this.owners = peers.owners();
        this.forwarder = peers.forwarder();
        this.sequenceQuery = peers.sequenceQuery();
        this.scheduler = scheduler;
        this.clock = clock;
    }

    /** Starts serving the partitions that this node owns. */
    public void start() {
        scheduler.schedule(() -> {
            startedMillis = clock.get().monotonicMillis();
            lastTickMillis = startedMillis;
            tick();
        });
    }

    /** Stops the periodic work on partitions. Open claims are answered by their deadline. */
    public void close() {
        scheduler.schedule(() -> scheduledTick.dispose());
    }

    /**
     * Returns the idempotency-key window to issue with an endpoint lookup.
     *
     * @return number of the current window
     */
    public long currentWindow() {
        return settings.windows().current(clock.get().wallMillis());
    }

    /**
     * Claims the right to send a non-repeatable request. Cancelling before the outcome arrives releases the claim.
     *
     * @param key the request's idempotency key
     * @param fingerprint digest of method, path and body
     * @return the outcome, within {@link #CLAIM_DEADLINE_MILLIS}; never an error
     */
    public Mono<ClaimOutcome> claim(ClaimKey key, String fingerprint) {
        return Mono.defer(() -> {
            String token = incarnation + "." + tokens.incrementAndGet();
            AtomicReference<Delivery> delivery = new AtomicReference<>(Delivery.PENDING);
            return route(new PartitionRequest.Claim(key, fingerprint, token))
                    .timeout(Duration.ofMillis(CLAIM_DEADLINE_MILLIS), scheduler)
                    .onErrorResume(error -> {
                        releaseClaim(key, token);
                        return Mono.just(ClaimOutcome.of(Kind.OUTCOME_UNKNOWN));
                    })
                    .filter(outcome -> delivery.compareAndSet(Delivery.PENDING, Delivery.DELIVERED))
                    .doOnNext(outcome -> {
                        if (outcome.kind() == Kind.GRANTED) {
                            grantedTokens.put(key, token);
                        }
                    })
                    .doOnCancel(() -> {
                        if (delivery.compareAndSet(Delivery.PENDING, Delivery.ABANDONED)) {
                            releaseClaim(key, token);
                        }
                    });
        });
    }

    /**
     * Stores the answer of a granted request, so that a repeated request gets the same answer. Failed attempts are
     * retried with backoff.
     *
     * @param key the request's idempotency key
     * @param answer the service's answer
     * @return completes once the answer is durable; an error if it could not be recorded or if this node
     *     holds no grant for the key
     */
    public Mono<Void> finish(ClaimKey key, StoredAnswer answer) {
        return recordResult(key, token -> new PartitionRequest.Finish(key, token, answer));
    }

    /**
     * Releases a granted claim whose request certainly did not reach the service, so that a repeated request may run.
     *
     * @param key the request's idempotency key
     * @return completes once the release is durable; an error if it could not be recorded or if this node
     *     holds no grant for the key
     */
    public Mono<Void> release(ClaimKey key) {
        return recordResult(key, token -> new PartitionRequest.Release(key, token));
    }

    /**
     * Handles a request that another node has forwarded to this node.
     *
     * @param request the claim, finish or release
     * @return the partition's outcome
     */
    public Mono<ClaimOutcome> serve(PartitionRequest request) {
        return Mono.<ClaimOutcome>create(sink -> scheduler.schedule(() -> {
            worker(request.key().partition(settings.partitions())).submit(request, sink);
            tickSoon();
        }));
    }

    /**
     * Returns the highest log sequence that this node knows of, in answer to another node's {@link PeerSequenceQuery}.
     *
     * @param partition number of the claims partition
     * @param confirmedAgeMillis time since the asking node last confirmed the log's end, in milliseconds
     * @return the highest sequence that this node has seen or tried to write, zero if none; {@link Long#MAX_VALUE} if
     *     this node has not run long enough to rule out a late write by an earlier process on its VM
     */
    public Mono<Long> highestSequence(int partition, long confirmedAgeMillis) {
        return Mono.fromCallable(() -> {
                    long uptimeMillis = clock.get().monotonicMillis() - startedMillis;
                    if (uptimeMillis - LATE_WRITE_MILLIS < confirmedAgeMillis) {
                        return Long.MAX_VALUE;
                    }
                    PartitionWorker worker = workers.get(partition);
                    long discarded = highestSequenceOfDiscarded.getOrDefault(partition, 0L);
                    return worker == null ? discarded : Math.max(discarded, worker.highestSequence());
                })
                .subscribeOn(scheduler);
    }

    private Mono<ClaimOutcome> route(PartitionRequest request) {
        List<VmId> nodes = owners.ownersOf(request.key().partition(settings.partitions()));
        Mono<ClaimOutcome> first = submitTo(nodes.get(0), request);
        if (nodes.size() == 1) {
            return first;
        }
        // The token is the same, so if the first node recorded the claim but its response was lost, the second finds
        // it.
        return first.onErrorResume(error -> submitTo(nodes.get(1), request));
    }

    private Mono<ClaimOutcome> submitTo(VmId node, PartitionRequest request) {
        if (node.equals(self)) {
            return serve(request);
        }
        return forwarder.forward(node, request).timeout(FORWARD_TIMEOUT, scheduler);
    }

    private Mono<Void> recordResult(ClaimKey key, Function<String, PartitionRequest> request) {
        return Mono.defer(() -> {
            String token = grantedTokens.get(key);
            if (token == null) {
                return Mono.error(new PeerException(
                        ProcessingStep.CLAIM,
                        "",
                        RunState.UNKNOWN,
                        "cannot record the result: this node holds no granted claim for the idempotency key"));
            }
            return recordWithRetries(request.apply(token)).doFinally(signal -> grantedTokens.remove(key, token));
        });
    }

    private Mono<Void> recordWithRetries(PartitionRequest request) {
        return Mono.defer(() -> route(request))
                .flatMap(outcome -> outcome.kind() == Kind.RECORDED
                        ? Mono.just(outcome)
                        : Mono.error(new PeerException(
                                ProcessingStep.CLAIM,
                                "",
                                RunState.RAN,
                                "the owner of the claims partition did not record the answer or release: "
                                        + outcome.kind())))
                .retryWhen(Retry.backoff(RECORD_RETRIES, RECORD_BACKOFF)
                        .maxBackoff(RECORD_MAX_BACKOFF)
                        .scheduler(scheduler)
                        .onRetryExhaustedThrow((spec, signal) -> signal.failure()))
                .then();
    }

    private void releaseClaim(ClaimKey key, String token) {
        recordWithRetries(new PartitionRequest.Release(key, token)).subscribe(nothing -> {}, error -> {});
    }

    private PartitionWorker worker(int partition) {
        return workers.computeIfAbsent(
                partition,
                p -> new PartitionWorker(
                        p,
                        settings,
                        incarnation + "." + tokens.incrementAndGet(),
                        store,
                        sequenceQuery,
                        scheduler,
                        clock));
    }

    private void tick() {
        long nowMillis = clock.get().monotonicMillis();
        if (nowMillis - lastTickMillis > PAUSE_THRESHOLD_MILLIS) {
            workers.values().forEach(PartitionWorker::onPause);
        }
        lastTickMillis = nowMillis;
        for (int partition = 0; partition < settings.partitions(); partition++) {
            tickPartition(partition);
        }
        boolean busy = workers.values().stream().anyMatch(worker -> !worker.isIdle());
        scheduleTick(nowMillis + (busy ? BUSY_TICK_MILLIS : IDLE_TICK_MILLIS));
    }

    private void tickPartition(int partition) {
        boolean owner = owners.ownersOf(partition).get(0).equals(self);
        if (owner) {
            worker(partition).tick(true);
            return;
        }
        PartitionWorker worker = workers.get(partition);
        if (worker == null) {
            return;
        }
        worker.tick(false);
        if (worker.isIdle()) {
            highestSequenceOfDiscarded.merge(partition, worker.highestSequence(), Math::max);
            workers.remove(partition);
        }
    }

    private void tickSoon() {
        long nowMillis = clock.get().monotonicMillis();
        if (nextTickMillis > nowMillis + BUSY_TICK_MILLIS) {
            scheduleTick(nowMillis + BUSY_TICK_MILLIS);
        }
    }

    private void scheduleTick(long atMillis) {
        scheduledTick.dispose();
        nextTickMillis = atMillis;
        long delayMillis = Math.max(1, atMillis - clock.get().monotonicMillis());
        scheduledTick = scheduler.schedule(this::tick, delayMillis, TimeUnit.MILLISECONDS);
    }
}
