package org.cowslipbank.entry.suspects;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.decision.suspects.CrashFact;
import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.decision.suspects.SuspectFacts;
import org.cowslipbank.decision.suspects.SuspectVerdict;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Records upstream crashes and controls the runs of suspects at a node. Any thread may read and add facts, which merge
 * in any order. Only the control thread uses the arbiter.
 */
public final class SuspectService {
    private static final Logger LOG = LogManager.getLogger(SuspectService.class);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);
    private static final int PEERS_TO_PULL = 2;
    /** Delay after which a waiting suspect asks the arbiter again, in milliseconds. */
    public static final long ASK_AGAIN_MILLIS = 100;

    // Streams of a crashed upstream fail at different times. Within this period each request is reported only once.
    private static final long REPORT_DEDUPLICATION_MILLIS = 5_000;
    private static final SuspectArbiter.Answer WAIT =
            new SuspectArbiter.Answer(SuspectArbiter.Verdict.WAIT, null, false, ASK_AGAIN_MILLIS);

    private final SuspectPeers peers;
    private final Scheduler control;
    private final SuspectClock clock;
    private final AtomicReference<SuspectFacts> facts = new AtomicReference<>(SuspectFacts.NONE);
    private final InFlightTable inFlight = new InFlightTable();
    private final GrantTable grants = new GrantTable();
    private final Map<UpstreamId, Reservation> reservations = new ConcurrentHashMap<>();
    private final Map<UpstreamId, Long> lastReportMillis = new ConcurrentHashMap<>();
    private final AtomicInteger unacknowledgedReports = new AtomicInteger();
    private final Set<VmId> pulledPeers = new HashSet<>();
    private SuspectArbiter arbiter;
    private Disposable tickSubscription = () -> {};

    /**
     * Creates a service; it does nothing periodic before {@link #start()}.
     *
     * @param peers access to the other nodes
     * @param control scheduler of the control thread
     * @param clock wall clock and monotonic clock
     */
    public SuspectService(SuspectPeers peers, Scheduler control, SuspectClock clock) {
        this.peers = peers;
        this.control = control;
        this.clock = clock;
    }

    /** Starts renewing grants and pulls the known facts from two peers. */
    public void start() {
        tickSubscription = Flux.interval(Duration.ZERO, TICK_INTERVAL, control)
                .onBackpressureDrop()
                .subscribe(tick -> tick());
    }

    /** Stops renewing grants and pulling facts. */
    public void stop() {
        tickSubscription.dispose();
    }

    /**
     * Returns the verdict on a request by the facts that this node knows.
     *
     * @param fingerprint the request's fingerprint
     * @return whether the request is clear, suspect or refused
     */
    public SuspectVerdict verdict(long fingerprint) {
        return facts.get().verdict(fingerprint);
    }

    /**
     * Adds a run to the in-flight table.
     *
     * @param upstream where it was sent
     * @param run identifies the run on this node
     * @param fingerprint the request's fingerprint
     */
    public void addInFlight(UpstreamId upstream, Object run, long fingerprint) {
        inFlight.add(upstream, run, fingerprint);
    }

    /**
     * Removes a run from the in-flight table.
     *
     * @param upstream where it was sent
     * @param run identifies the run on this node
     */
    public void removeInFlight(UpstreamId upstream, Object run) {
        inFlight.remove(upstream, run);
    }

    /**
     * Records the crash of an upstream. All requests that this node has in flight there become suspects before the call
     * returns, and the new facts are sent to the other nodes.
     *
     * <p>Without requests in flight there, no facts are recorded.
     *
     * @param upstream the crashed upstream
     */
    public synchronized void recordCrash(UpstreamId upstream) {
        long nowMillis = clock.wallMillis();
        Long last = lastReportMillis.put(upstream, nowMillis);
        boolean recentlyReported = last != null && nowMillis - last < REPORT_DEDUPLICATION_MILLIS;
        SuspectFacts known = facts.get();
        List<Long> fingerprints = inFlight.fingerprintsAt(upstream).stream()
                .filter(fingerprint -> !recentlyReported || !known.wasInFlightAtCrash(fingerprint, upstream))
                .toList();
        if (fingerprints.isEmpty()) {
            return;
        }
        LOG.warn(LogFields.event("upstream crashed")
                .step(ProcessingStep.GENERATE)
                .peer(upstream.value())
                .field("inFlight", fingerprints.size()));
        unacknowledgedReports.incrementAndGet();
        updateFacts(before -> before.withCrash(upstream, fingerprints, nowMillis))
                .doFinally(signal -> unacknowledgedReports.decrementAndGet())
                .subscribe();
        control.schedule(() -> recordCrashAtArbiter(List.of(upstream)));
    }

    /**
     * Records that a request ran to its end, which clears a suspect.
     *
     * @param fingerprint the request's fingerprint
     */
    public void recordCompletion(long fingerprint) {
        updateFacts(before -> before.withFinished(fingerprint, clock.wallMillis()))
                .subscribe();
    }

    /**
     * Asks the arbiter for a suspect's next run. While peers have not acknowledged a crash that this node reported, or
     * the arbiter cannot be reached, the suspect waits.
     *
     * @param fingerprint the suspect's fingerprint
     * @param emittedTokens number of tokens that it has emitted
     * @param candidates upstreams that accept new work
     * @param onExpired cancels the run if its grant expires without renewal
     * @return the answer; after {@link SuspectArbiter.Verdict#RUN} the caller must call {@link #releaseGrant} when the
     *     run ends or is not begun
     */
    public Mono<SuspectArbiter.Answer> requestGrant(
            long fingerprint, int emittedTokens, List<SuspectArbiter.Candidate> candidates, Runnable onExpired) {
        if (unacknowledgedReports.get() > 0) {
            return Mono.just(WAIT);
        }
        long askedMillis = clock.monotonicMillis();
        AtomicBoolean granted = new AtomicBoolean();
        SuspectArbiter.Question question =
                new SuspectArbiter.Question(fingerprint, peers.self(), candidates, emittedTokens, true);
        return send(peers.arbiterNode(), SuspectQuery.ask(question))
                .map(SuspectReply::answer)
                .onErrorReturn(WAIT)
                .flatMap(answer -> {
                    if (answer.verdict() != SuspectArbiter.Verdict.RUN) {
                        return Mono.just(answer);
                    }
                    granted.set(true);
                    grants.add(fingerprint, answer, askedMillis, onExpired);
                    return reserve(fingerprint, answer).thenReturn(answer);
                })
                .doOnCancel(() -> {
                    if (granted.get()) {
                        releaseGrant(fingerprint);
                    }
                });
    }

    /**
     * Releases a grant whose run has ended or was not begun. Does nothing if this node holds none.
     *
     * @param fingerprint the suspect's fingerprint
     */
    public void releaseGrant(long fingerprint) {
        GrantTable.Grant grant = grants.remove(fingerprint);
        if (grant == null) {
            return;
        }
        if (grant.exclusive()) {
            broadcastReservation(new Reservation(grant.upstream(), fingerprint, 0))
                    .subscribe();
        }
        send(peers.arbiterNode(), SuspectQuery.forGrant(SuspectQuery.Kind.ENDED, peers.self(), fingerprint))
                .onErrorComplete()
                .subscribe();
    }

    /**
     * Returns whether an upstream is reserved for the exclusive run of a suspect.
     *
     * @param upstream the upstream to check
     * @return true if no other work may be sent there
     */
    public boolean isReserved(UpstreamId upstream) {
        Reservation reservation = reservations.get(upstream);
        return reservation != null && reservation.untilMillis() > clock.wallMillis();
    }

    /**
     * Handles a query of a peer.
     *
     * @param body the encoded query
     * @return the encoded reply; an error if the query cannot be decoded
     */
    public Mono<byte[]> serve(byte[] body) {
        return SuspectMessages.read(body, SuspectQuery.class)
                .flatMap(query -> Mono.fromSupplier(() -> handle(query)).subscribeOn(control))
                .map(SuspectMessages::write);
    }

    private SuspectReply handle(SuspectQuery query) {
        return switch (query.kind()) {
            case FACTS -> mergeFacts(query);
            case PULL -> SuspectReply.of(facts.get());
            case ASK -> SuspectReply.of(
                    updateArbiter() ? arbiter.ask(query.question(), facts.get(), clock.monotonicMillis()) : WAIT);
            case RENEW -> SuspectReply.ofRenewal(
                    updateArbiter() && arbiter.renew(query.fingerprint(), query.node(), clock.monotonicMillis()));
            case ENDED -> {
                if (arbiter != null) {
                    arbiter.releaseGrant(query.fingerprint(), query.node());
                }
                yield SuspectReply.ACKNOWLEDGED;
            }
        };
    }

    private SuspectReply mergeFacts(SuspectQuery query) {
        facts.updateAndGet(known -> known.merge(query.crashes(), query.clears(), clock.wallMillis()));
        if (query.reservation() != null) {
            applyReservation(query.reservation());
        }
        recordCrashAtArbiter(
                query.crashes().stream().map(CrashFact::upstream).distinct().toList());
        return SuspectReply.ACKNOWLEDGED;
    }

    private void recordCrashAtArbiter(List<UpstreamId> upstreams) {
        if (arbiter == null) {
            return;
        }
        for (UpstreamId upstream : upstreams) {
            SuspectFacts known = facts.get();
            SuspectFacts withCrash = arbiter.recordCrash(upstream, known, clock.wallMillis());
            facts.updateAndGet(current -> current.merge(withCrash.crashes(), withCrash.clears(), clock.wallMillis()));
        }
    }

    /** Creates or discards the arbiter as this node gains or loses the role; returns true if the node holds it. */
    private boolean updateArbiter() {
        if (!peers.arbiterNode().equals(peers.self())) {
            arbiter = null;
        } else if (arbiter == null) {
            arbiter = new SuspectArbiter(clock.monotonicMillis());
        }
        return arbiter != null;
    }

    private void tick() {
        updateArbiter();
        pullFacts();
        long nowMillis = clock.monotonicMillis();
        grants.snapshot().forEach((fingerprint, grant) -> renewGrant(fingerprint, grant, nowMillis));
        grants.removeExpired(nowMillis).forEach(grant -> grant.onExpired().run());
        facts.updateAndGet(known -> known.merge(List.of(), List.of(), clock.wallMillis()));
    }

    private void renewGrant(long fingerprint, GrantTable.Grant grant, long askedMillis) {
        send(peers.arbiterNode(), SuspectQuery.forGrant(SuspectQuery.Kind.RENEW, peers.self(), fingerprint))
                .filter(SuspectReply::renewed)
                .doOnNext(reply -> grants.renew(fingerprint, askedMillis))
                .filter(reply -> grant.exclusive() && grants.snapshot().containsKey(fingerprint))
                .flatMap(reply -> broadcastReservation(newReservation(fingerprint, grant.upstream())))
                .onErrorComplete()
                .subscribe();
    }

    private void pullFacts() {
        if (pulledPeers.size() >= PEERS_TO_PULL) {
            return;
        }
        peers.otherNodes().stream()
                .filter(node -> !pulledPeers.contains(node))
                .findFirst()
                .ifPresent(node -> send(node, SuspectQuery.pull(peers.self()))
                        .publishOn(control)
                        .subscribe(
                                reply -> onFactsPulled(node, reply),
                                error -> LOG.debug(
                                        "cannot pull suspect facts from peer {}, retrying at the next tick: {}",
                                        node,
                                        error)));
    }

    private void onFactsPulled(VmId node, SuspectReply reply) {
        pulledPeers.add(node);
        facts.updateAndGet(known -> known.merge(reply.crashes(), reply.clears(), clock.wallMillis()));
    }

    private Mono<Void> updateFacts(UnaryOperator<SuspectFacts> change) {
        SuspectFacts before = facts.getAndUpdate(change);
        SuspectFacts after = change.apply(before);
        return after == before ? Mono.empty() : broadcast(SuspectQuery.newFacts(peers.self(), before, after));
    }

    private Mono<Void> reserve(long fingerprint, SuspectArbiter.Answer answer) {
        return answer.alone() ? broadcastReservation(newReservation(fingerprint, answer.upstream())) : Mono.empty();
    }

    private Reservation newReservation(long fingerprint, UpstreamId upstream) {
        return new Reservation(upstream, fingerprint, clock.wallMillis() + SuspectArbiter.LEASE_MILLIS);
    }

    private Mono<Void> broadcastReservation(Reservation reservation) {
        applyReservation(reservation);
        return broadcast(SuspectQuery.forReservation(peers.self(), reservation));
    }

    private void applyReservation(Reservation reservation) {
        reservations.compute(reservation.upstream(), (upstream, known) -> {
            if (reservation.untilMillis() > 0) {
                return reservation;
            }
            return known == null || known.fingerprint() == reservation.fingerprint() ? null : known;
        });
    }

    private Mono<Void> broadcast(SuspectQuery query) {
        byte[] body = SuspectMessages.write(query);
        return Flux.fromIterable(peers.otherNodes())
                .flatMap(node -> peers.request(node, body).onErrorComplete())
                .then();
    }

    private Mono<SuspectReply> send(VmId node, SuspectQuery query) {
        if (node.equals(peers.self())) {
            return Mono.fromSupplier(() -> handle(query)).subscribeOn(control);
        }
        return peers.request(node, SuspectMessages.write(query))
                .flatMap(bytes -> SuspectMessages.read(bytes, SuspectReply.class));
    }
}
