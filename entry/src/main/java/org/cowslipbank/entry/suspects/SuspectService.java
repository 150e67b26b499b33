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
import org.cowslipbank.model.Step;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Holds what a node knows of crashes. Traffic threads read and extend the facts, which merge in any order; the arbiter
 * is touched by the control thread only.
 */
public final class SuspectService {
    private static final Logger LOG = LogManager.getLogger(SuspectService.class);
    private static final Duration TICK = Duration.ofMillis(500);
    private static final int PEERS_PULLED = 2;
    /** When a waiting suspect asks again, in milliseconds. */
    public static final long ASK_AGAIN_MILLIS = 100;

    // Streams of one upstream notice its crash at different times; each request is reported once.
    private static final long REPORT_ONCE_MILLIS = 5_000;
    private static final SuspectArbiter.Answer WAIT =
            new SuspectArbiter.Answer(SuspectArbiter.Verdict.WAIT, null, false, ASK_AGAIN_MILLIS);

    private final SuspectPeers peers;
    private final Scheduler control;
    private final SuspectClock clock;
    private final AtomicReference<SuspectFacts> facts = new AtomicReference<>(SuspectFacts.NONE);
    private final InFlight inFlight = new InFlight();
    private final Grants grants = new Grants();
    private final Map<UpstreamId, Reservation> reservations = new ConcurrentHashMap<>();
    private final Map<UpstreamId, Long> reportedMillis = new ConcurrentHashMap<>();
    private final AtomicInteger unacknowledgedReports = new AtomicInteger();
    private final Set<VmId> pulled = new HashSet<>();
    private SuspectArbiter arbiter;
    private Disposable ticking = () -> {};

    /**
     * Creates a service that does not run yet.
     *
     * @param peers the other nodes
     * @param control the control thread
     * @param clock the clocks
     */
    public SuspectService(SuspectPeers peers, Scheduler control, SuspectClock clock) {
        this.peers = peers;
        this.control = control;
        this.clock = clock;
    }

    /** Starts to renew grants, and pulls the facts of two peers. */
    public void start() {
        ticking =
                Flux.interval(Duration.ZERO, TICK, control).onBackpressureDrop().subscribe(tick -> tick());
    }

    /** Stops. */
    public void stop() {
        ticking.dispose();
    }

    /**
     * Returns the verdict on a fingerprint by what this node knows.
     *
     * @param fingerprint the fingerprint
     * @return the verdict
     */
    public SuspectVerdict verdict(long fingerprint) {
        return facts.get().verdict(fingerprint);
    }

    /**
     * Notes a request in flight.
     *
     * @param upstream where it was sent
     * @param run identifies the run on this node
     * @param fingerprint its fingerprint
     */
    public void sent(UpstreamId upstream, Object run, long fingerprint) {
        inFlight.sent(upstream, run, fingerprint);
    }

    /**
     * Notes that a request is no longer in flight.
     *
     * @param upstream where it was sent
     * @param run identifies the run on this node
     */
    public void left(UpstreamId upstream, Object run) {
        inFlight.left(upstream, run);
    }

    /**
     * Notes the crash of an upstream: all requests that this node has in flight there become suspects before the call
     * returns, and the other nodes are told.
     *
     * @param upstream the upstream
     */
    public synchronized void crashed(UpstreamId upstream) {
        long nowMillis = clock.wallMillis();
        Long last = reportedMillis.put(upstream, nowMillis);
        boolean recent = last != null && nowMillis - last < REPORT_ONCE_MILLIS;
        SuspectFacts known = facts.get();
        List<Long> prints = inFlight.at(upstream).stream()
                .filter(print -> !recent || !known.sawCrash(print, upstream))
                .toList();
        if (prints.isEmpty()) {
            return;
        }
        LOG.warn(LogFields.event("upstream crashed")
                .step(Step.GENERATE)
                .peer(upstream.value())
                .field("inFlight", prints.size()));
        unacknowledgedReports.incrementAndGet();
        extend(before -> before.crashed(upstream, prints, nowMillis))
                .doFinally(signal -> unacknowledgedReports.decrementAndGet())
                .subscribe();
        control.schedule(() -> grantsCrashed(List.of(upstream)));
    }

    /**
     * Notes that a request ran to its end.
     *
     * @param fingerprint its fingerprint
     */
    public void finished(long fingerprint) {
        extend(before -> before.finished(fingerprint, clock.wallMillis())).subscribe();
    }

    /**
     * Asks the arbiter for a suspect's next run. While peers have not acknowledged a crash that this node reported, or
     * the arbiter cannot be reached, the suspect waits.
     *
     * @param fingerprint its fingerprint
     * @param emittedTokens tokens that it has emitted
     * @param candidates upstreams that take new work
     * @param onLapsed cancels the run if its grant cannot be renewed
     * @return the answer; after {@link SuspectArbiter.Verdict#RUN} the caller reports the end of the run
     */
    public Mono<SuspectArbiter.Answer> ask(
            long fingerprint, int emittedTokens, List<SuspectArbiter.Candidate> candidates, Runnable onLapsed) {
        if (unacknowledgedReports.get() > 0) {
            return Mono.just(WAIT);
        }
        long askedMillis = clock.monotonicMillis();
        AtomicBoolean held = new AtomicBoolean();
        SuspectArbiter.Question question =
                new SuspectArbiter.Question(fingerprint, peers.self(), candidates, emittedTokens, true);
        return request(peers.arbiter(), SuspectQuery.ask(question))
                .map(SuspectReply::answer)
                .onErrorReturn(WAIT)
                .flatMap(answer -> {
                    if (answer.verdict() != SuspectArbiter.Verdict.RUN) {
                        return Mono.just(answer);
                    }
                    held.set(true);
                    grants.granted(fingerprint, answer, askedMillis, onLapsed);
                    return reserve(fingerprint, answer).thenReturn(answer);
                })
                .doOnCancel(() -> {
                    if (held.get()) {
                        ended(fingerprint);
                    }
                });
    }

    /**
     * Returns a grant.
     *
     * @param fingerprint the fingerprint whose granted run has ended or was not begun
     */
    public void ended(long fingerprint) {
        Grants.Held held = grants.ended(fingerprint);
        if (held == null) {
            return;
        }
        if (held.alone()) {
            tellReservation(new Reservation(held.upstream(), fingerprint, 0)).subscribe();
        }
        request(peers.arbiter(), SuspectQuery.grant(SuspectQuery.Kind.ENDED, peers.self(), fingerprint))
                .onErrorComplete()
                .subscribe();
    }

    /**
     * Tells whether an upstream is kept free for one suspect.
     *
     * @param upstream the upstream
     * @return true if no other work may be sent there
     */
    public boolean isReserved(UpstreamId upstream) {
        Reservation reservation = reservations.get(upstream);
        return reservation != null && reservation.untilMillis() > clock.wallMillis();
    }

    /**
     * Answers a peer.
     *
     * @param body the encoded question
     * @return the encoded reply
     */
    public Mono<byte[]> serve(byte[] body) {
        return SuspectMessages.read(body, SuspectQuery.class)
                .flatMap(query -> Mono.fromSupplier(() -> answer(query)).subscribeOn(control))
                .map(SuspectMessages::write);
    }

    private SuspectReply answer(SuspectQuery query) {
        return switch (query.kind()) {
            case FACTS -> merge(query);
            case PULL -> SuspectReply.of(facts.get());
            case ASK -> SuspectReply.of(
                    updateArbiter() ? arbiter.ask(query.question(), facts.get(), clock.monotonicMillis()) : WAIT);
            case RENEW -> SuspectReply.renewed(
                    updateArbiter() && arbiter.renew(query.fingerprint(), query.node(), clock.monotonicMillis()));
            case ENDED -> {
                if (arbiter != null) {
                    arbiter.ended(query.fingerprint(), query.node());
                }
                yield SuspectReply.DONE;
            }
        };
    }

    private SuspectReply merge(SuspectQuery query) {
        facts.updateAndGet(known -> known.merge(query.crashes(), query.clears(), clock.wallMillis()));
        if (query.reservation() != null) {
            note(query.reservation());
        }
        grantsCrashed(
                query.crashes().stream().map(CrashFact::upstream).distinct().toList());
        return SuspectReply.DONE;
    }

    private void grantsCrashed(List<UpstreamId> upstreams) {
        if (arbiter == null) {
            return;
        }
        for (UpstreamId upstream : upstreams) {
            SuspectFacts known = facts.get();
            SuspectFacts more = arbiter.upstreamCrashed(upstream, known, clock.wallMillis());
            facts.updateAndGet(current -> current.merge(more.crashes(), more.clears(), clock.wallMillis()));
        }
    }

    /** Takes or gives up the arbiter's role; returns true if this node holds it. */
    private boolean updateArbiter() {
        if (!peers.arbiter().equals(peers.self())) {
            arbiter = null;
        } else if (arbiter == null) {
            arbiter = new SuspectArbiter(clock.monotonicMillis());
        }
        return arbiter != null;
    }

    private void tick() {
        updateArbiter();
        pull();
        long nowMillis = clock.monotonicMillis();
        grants.all().forEach((fingerprint, held) -> renew(fingerprint, held, nowMillis));
        grants.takeLapsed(nowMillis).forEach(held -> held.onLapsed().run());
        facts.updateAndGet(known -> known.merge(List.of(), List.of(), clock.wallMillis()));
    }

    private void renew(long fingerprint, Grants.Held held, long askedMillis) {
        request(peers.arbiter(), SuspectQuery.grant(SuspectQuery.Kind.RENEW, peers.self(), fingerprint))
                .filter(SuspectReply::renewed)
                .doOnNext(reply -> grants.renewed(fingerprint, askedMillis))
                .filter(reply -> held.alone() && grants.all().containsKey(fingerprint))
                .flatMap(reply -> tellReservation(reservation(fingerprint, held.upstream())))
                .onErrorComplete()
                .subscribe();
    }

    private void pull() {
        if (pulled.size() >= PEERS_PULLED) {
            return;
        }
        peers.others().stream()
                .filter(node -> !pulled.contains(node))
                .findFirst()
                .ifPresent(node -> request(node, SuspectQuery.pull(peers.self()))
                        .publishOn(control)
                        .subscribe(reply -> pulled(node, reply), error -> LOG.debug("pull failed: {}", error)));
    }

    private void pulled(VmId node, SuspectReply reply) {
        pulled.add(node);
        facts.updateAndGet(known -> known.merge(reply.crashes(), reply.clears(), clock.wallMillis()));
    }

    private Mono<Void> extend(UnaryOperator<SuspectFacts> change) {
        SuspectFacts before = facts.getAndUpdate(change);
        SuspectFacts after = change.apply(before);
        return after == before ? Mono.empty() : tell(SuspectQuery.facts(peers.self(), before, after));
    }

    private Mono<Void> reserve(long fingerprint, SuspectArbiter.Answer answer) {
        return answer.alone() ? tellReservation(reservation(fingerprint, answer.upstream())) : Mono.empty();
    }

    private Reservation reservation(long fingerprint, UpstreamId upstream) {
        return new Reservation(upstream, fingerprint, clock.wallMillis() + SuspectArbiter.LEASE_MILLIS);
    }

    private Mono<Void> tellReservation(Reservation reservation) {
        note(reservation);
        return tell(SuspectQuery.reservation(peers.self(), reservation));
    }

    private void note(Reservation reservation) {
        reservations.compute(reservation.upstream(), (upstream, known) -> {
            if (reservation.untilMillis() > 0) {
                return reservation;
            }
            return known == null || known.fingerprint() == reservation.fingerprint() ? null : known;
        });
    }

    private Mono<Void> tell(SuspectQuery query) {
        byte[] body = SuspectMessages.write(query);
        return Flux.fromIterable(peers.others())
                .flatMap(node -> peers.request(node, body).onErrorComplete())
                .then();
    }

    private Mono<SuspectReply> request(VmId node, SuspectQuery query) {
        if (node.equals(peers.self())) {
            return Mono.fromSupplier(() -> answer(query)).subscribeOn(control);
        }
        return peers.request(node, SuspectMessages.write(query))
                .flatMap(bytes -> SuspectMessages.read(bytes, SuspectReply.class));
    }
}
