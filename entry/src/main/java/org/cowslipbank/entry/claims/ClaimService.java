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
import org.cowslipbank.model.RunState;
import org.cowslipbank.model.Step;
import org.cowslipbank.model.VmId;
import org.cowslipbank.ports.KeyValueStore;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.util.retry.Retry;

/**
 * At-most-once execution of non-repeatable requests at one node.
 *
 * <p>A caller of {@link #claim} may send the request only on {@link Kind#GRANTED}, once per claim, and then calls
 * {@link #finish}, or {@link #release} if the request certainly did not reach the service. All other outcomes are told
 * to the request's caller.
 */
public final class ClaimService {
    /** A claim that takes longer is answered as unknown and given back, in milliseconds. */
    public static final long CLAIM_DEADLINE_MILLIS = 6_000;

    private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(2_500);
    private static final long FINISH_RETRIES = 60;
    private static final Duration FINISH_BACKOFF = Duration.ofMillis(200);
    private static final Duration FINISH_MAX_BACKOFF = Duration.ofSeconds(5);
    private static final long BUSY_TICK_MILLIS = 5;
    private static final long IDLE_TICK_MILLIS = 100;
    private static final long PAUSE_MILLIS = 2_000;
    // A create of an earlier run on the same VM may take effect this long after that run has ended.
    private static final long FORGOTTEN_MILLIS = 10_000;

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
    private final ClaimWitness witness;
    private final Scheduler scheduler;
    private final Supplier<ClaimTime> clock;
    private final String incarnation;
    private final AtomicLong tokens = new AtomicLong();
    private final Map<ClaimKey, String> granted = new ConcurrentHashMap<>();
    // Only the scheduler's thread uses the fields below.
    private final Map<Integer, PartitionWorker> workers = new HashMap<>();
    private final Map<Integer, Long> highestOfDiscarded = new HashMap<>();
    private long startedMillis;
    private long lastTickMillis;
    private long nextTickMillis;
    private Disposable nextTick = () -> {};

    /**
     * Creates a service; it does nothing before {@link #start()}.
     *
     * @param node identity and settings
     * @param store the region's key-value service, behind the platform budget at the priority of claims
     * @param peers the other nodes
     * @param scheduler a scheduler with a single thread, which owns the claims' state
     * @param clock the node's clocks
     */
    public ClaimService(
            ClaimNode node, KeyValueStore store, ClaimPeers peers, Scheduler scheduler, Supplier<ClaimTime> clock) {
        this.self = node.self();
        this.incarnation = self + "." + node.incarnation();
        this.settings = node.settings();
        this.store = store;
        this.owners = peers.owners();
        this.forwarder = peers.forwarder();
        this.witness = peers.witness();
        this.scheduler = scheduler;
        this.clock = clock;
    }

    /** Starts to work on the partitions that this node owns. */
    public void start() {
        scheduler.schedule(() -> {
            startedMillis = clock.get().monotonicMillis();
            lastTickMillis = startedMillis;
            tick();
        });
    }

    /** Stops ticking. Open claims are answered by their deadline. */
    public void close() {
        scheduler.schedule(() -> nextTick.dispose());
    }

    /**
     * Returns the window to issue with an address lookup.
     *
     * @return the current window
     */
    public long currentWindow() {
        return settings.windows().current(clock.get().wallMillis());
    }

    /**
     * Asks for the right to send a non-repeatable request. Cancelling before an outcome gives the claim back.
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
                        giveBack(key, token);
                        return Mono.just(ClaimOutcome.of(Kind.OUTCOME_UNKNOWN));
                    })
                    .filter(outcome -> delivery.compareAndSet(Delivery.PENDING, Delivery.DELIVERED))
                    .doOnNext(outcome -> {
                        if (outcome.kind() == Kind.GRANTED) {
                            granted.put(key, token);
                        }
                    })
                    .doOnCancel(() -> {
                        if (delivery.compareAndSet(Delivery.PENDING, Delivery.ABANDONED)) {
                            giveBack(key, token);
                        }
                    });
        });
    }

    /**
     * Stores the answer of a granted request, so that a repeated call gets the same one. Retries until it is recorded.
     *
     * @param key the request's idempotency key
     * @param answer the answer
     * @return completes once the answer is durable; an error with run state ran if it could not be recorded
     */
    public Mono<Void> finish(ClaimKey key, StoredAnswer answer) {
        return record(key, token -> new PartitionRequest.Finish(key, token, answer));
    }

    /**
     * Gives back a granted claim whose request certainly did not reach the service, so that a repeated call may run.
     *
     * @param key the request's idempotency key
     * @return completes once the release is durable; an error if it could not be recorded
     */
    public Mono<Void> release(ClaimKey key) {
        return record(key, token -> new PartitionRequest.Release(key, token));
    }

    /**
     * Serves a request that another node has forwarded.
     *
     * @param request the request
     * @return the outcome
     */
    public Mono<ClaimOutcome> serve(PartitionRequest request) {
        return Mono.<ClaimOutcome>create(sink -> scheduler.schedule(() -> {
            worker(request.key().partition(settings.partitions())).submit(request, sink);
            wake();
        }));
    }

    /**
     * Returns what this node knows of a partition, for another node's {@link ClaimWitness}.
     *
     * @param partition the partition
     * @param confirmedAgeMillis age of the asking node's last confirmation of the log's end, in milliseconds
     * @return the highest sequence that this node has seen or tried to write, zero if none; {@link Long#MAX_VALUE} if
     *     this node has not run long enough to know what an earlier run on its VM may have written
     */
    public Mono<Long> highestSequence(int partition, long confirmedAgeMillis) {
        return Mono.fromCallable(() -> {
                    long ranMillis = clock.get().monotonicMillis() - startedMillis;
                    if (ranMillis - FORGOTTEN_MILLIS < confirmedAgeMillis) {
                        return Long.MAX_VALUE;
                    }
                    PartitionWorker worker = workers.get(partition);
                    long discarded = highestOfDiscarded.getOrDefault(partition, 0L);
                    return worker == null ? discarded : Math.max(discarded, worker.highestSequence());
                })
                .subscribeOn(scheduler);
    }

    private Mono<ClaimOutcome> route(PartitionRequest request) {
        List<VmId> nodes = owners.ownersOf(request.key().partition(settings.partitions()));
        Mono<ClaimOutcome> first = ask(nodes.get(0), request);
        if (nodes.size() == 1) {
            return first;
        }
        // The token is the same, so a claim that the first node recorded before it fell silent is found by the second.
        return first.onErrorResume(error -> ask(nodes.get(1), request));
    }

    private Mono<ClaimOutcome> ask(VmId node, PartitionRequest request) {
        if (node.equals(self)) {
            return serve(request);
        }
        return forwarder.forward(node, request).timeout(FORWARD_TIMEOUT, scheduler);
    }

    private Mono<Void> record(ClaimKey key, Function<String, PartitionRequest> request) {
        return Mono.defer(() -> {
            String token = granted.get(key);
            if (token == null) {
                return Mono.error(new PeerException(
                        Step.CLAIM, "", RunState.UNKNOWN, "no claim of this node is open for the key"));
            }
            return recordWithRetries(request.apply(token)).doFinally(signal -> granted.remove(key, token));
        });
    }

    private Mono<Void> recordWithRetries(PartitionRequest request) {
        return Mono.defer(() -> route(request))
                .flatMap(outcome -> outcome.kind() == Kind.RECORDED
                        ? Mono.just(outcome)
                        : Mono.error(new PeerException(
                                Step.CLAIM, "", RunState.RAN, "the partition's owner could not record the answer")))
                .retryWhen(Retry.backoff(FINISH_RETRIES, FINISH_BACKOFF)
                        .maxBackoff(FINISH_MAX_BACKOFF)
                        .scheduler(scheduler)
                        .onRetryExhaustedThrow((spec, signal) -> signal.failure()))
                .then();
    }

    private void giveBack(ClaimKey key, String token) {
        recordWithRetries(new PartitionRequest.Release(key, token)).subscribe(nothing -> {}, error -> {});
    }

    private PartitionWorker worker(int partition) {
        return workers.computeIfAbsent(
                partition,
                p -> new PartitionWorker(
                        p, settings, incarnation + "." + tokens.incrementAndGet(), store, witness, scheduler, clock));
    }

    private void tick() {
        long nowMillis = clock.get().monotonicMillis();
        if (nowMillis - lastTickMillis > PAUSE_MILLIS) {
            workers.values().forEach(PartitionWorker::paused);
        }
        lastTickMillis = nowMillis;
        for (int partition = 0; partition < settings.partitions(); partition++) {
            tick(partition);
        }
        boolean busy = workers.values().stream().anyMatch(worker -> !worker.isIdle());
        schedule(nowMillis + (busy ? BUSY_TICK_MILLIS : IDLE_TICK_MILLIS));
    }

    private void tick(int partition) {
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
            highestOfDiscarded.merge(partition, worker.highestSequence(), Math::max);
            workers.remove(partition);
        }
    }

    private void wake() {
        long nowMillis = clock.get().monotonicMillis();
        if (nextTickMillis > nowMillis + BUSY_TICK_MILLIS) {
            schedule(nowMillis + BUSY_TICK_MILLIS);
        }
    }

    private void schedule(long atMillis) {
        nextTick.dispose();
        nextTickMillis = atMillis;
        long delayMillis = Math.max(1, atMillis - clock.get().monotonicMillis());
        nextTick = scheduler.schedule(this::tick, delayMillis, TimeUnit.MILLISECONDS);
    }
}
