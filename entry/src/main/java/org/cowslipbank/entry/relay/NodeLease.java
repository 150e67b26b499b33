package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

/**
 * The node's lease in the metadata store. The node's registration and, on the leader, the leader key are attached to it
 * and are removed when it ends. Runs on the control thread.
 */
final class NodeLease {
    /** Lifetime of the lease; within it a node that is cut off leaves the look-up answers and a leader is replaced. */
    static final long LEASE_TTL_MILLIS = 1_600;

    /** Renewal interval; three renewals in a row may be lost. */
    static final long RENEW_INTERVAL_MILLIS = 400;

    /** Delay between successive candidates for leadership, so that usually only one of them calls the store. */
    static final long CANDIDATE_DELAY_MILLIS = 120;

    /** Separates the node's name from its lease in the leader key. */
    static final String LEASE_SEPARATOR = "#";

    private final ControlContext context;
    private final PlatformState state;
    private final long ttlMillis;
    private long lease;
    private boolean registered;
    private boolean cutOff;
    private long registeredRevision;
    private boolean released;
    private boolean callInFlight;
    private boolean marking;
    private long leaderlessSinceMillis = -1;
    private Optional<LeaderLease.ClockReading> validUntil = Optional.empty();
    private volatile Optional<Leadership> leadership = Optional.empty();

    /**
     * This node's leadership.
     *
     * @param fencingToken revision of the leader key
     * @param since when this node became leader
     * @param hasPredecessor true if an earlier leader may have given orders
     */
    private record Leadership(long fencingToken, LeaderLease.ClockReading since, boolean hasPredecessor) {}

    NodeLease(ControlContext context, PlatformState state, long minLeaseMillis) {
        this.context = context;
        this.state = state;
        this.ttlMillis = Math.max(minLeaseMillis, LEASE_TTL_MILLIS);
    }

    void start() {
        context.control()
                .schedulePeriodically(
                        guarded("lease", this::renewOrGrant), 0, RENEW_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        context.control()
                .schedulePeriodically(
                        guarded("election", this::runElection),
                        RENEW_INTERVAL_MILLIS,
                        CANDIDATE_DELAY_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private GuardedTask guarded(String name, Runnable task) {
        return new GuardedTask(name, task, context.log());
    }

    /**
     * Ends the lease and with it the registration, so that the other nodes stop listing this one in look-ups. A leader gives
     * no more orders but keeps its key until the last one has arrived: its successor counts on that, as after a lease that
     * ran out.
     */
    void release() {
        context.control().schedule(() -> {
            released = true;
            if (leadership.isEmpty()) {
                endLease();
                return;
            }
            leadership = Optional.empty();
            removeRegistration();
            context.control().schedule(this::endLease, LeaderLease.LEASE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    private void removeRegistration() {
        context.store()
                .removeIf(context.items().nodeKey(context.self().name()), registeredRevision)
                .subscribe(removed -> {}, error -> context.log()
                        .logState(LogFields.event("registration not removed; it ends with the lease")
                                .error(error)));
    }

    private void endLease() {
        if (lease != 0) {
            context.store().endLease(lease).subscribe(done -> {}, error -> context.log()
                    .logState(LogFields.event("lease not ended; it runs out").error(error)));
        }
    }

    /**
     * Tells the other nodes whether this one reaches the upstreams. May be called by any thread.
     *
     * @param isCutOff true if it reaches none
     */
    void setCutOff(boolean isCutOff) {
        context.control().schedule(() -> {
            cutOff = isCutOff;
            registered = false;
            renewOrGrant();
        });
    }

    /**
     * Returns the lease under which this node may send orders to engines.
     *
     * @return the lease, or empty if this node is not the leader
     */
    Optional<LeaderLease> leaderLease() {
        return leadership.flatMap(
                current -> validUntil.map(until -> new LeaderLease(current.since(), until, current.hasPredecessor())));
    }

    /**
     * Returns whether this node takes itself for the leader. Two nodes may do so for a moment, so this is only for duties
     * that are safe when two nodes perform them.
     *
     * @return true if the leader key names this node, as far as it knows
     */
    boolean isLeader() {
        return leadership.isPresent() && context.view().get().leader().isPresent();
    }

    long fencingToken() {
        return leadership.map(Leadership::fencingToken).orElse(0L);
    }

    private void renewOrGrant() {
        if (released || callInFlight) {
            return;
        }
        callInFlight = true;
        LeaderLease.ClockReading sentAt = context.clocks().now();
        Mono<Boolean> step = lease == 0 ? grant(sentAt) : renew(sentAt);
        step.publishOn(context.control())
                .doFinally(signal -> callInFlight = false)
                .subscribe(done -> {}, this::onError);
    }

    private void onError(Throwable error) {
        context.log().logState(LogFields.event("lease not renewed").error(error));
    }

    private Mono<Boolean> grant(LeaderLease.ClockReading sentAt) {
        return context.store()
                .grantLease(ttlMillis)
                .publishOn(context.control())
                .flatMap(granted -> {
                    lease = granted.id();
                    leadership = Optional.empty();
                    validUntil = Optional.of(sentAt.plus(granted.ttlMillis()));
                    return register();
                });
    }

    private Mono<Boolean> renew(LeaderLease.ClockReading sentAt) {
        return context.store().renewLease(lease).publishOn(context.control()).flatMap(ttl -> {
            if (ttl.isEmpty()) {
                context.log().logState(LogFields.event("lease has ended").field("lease", lease));
                lease = 0;
                registered = false;
                leadership = Optional.empty();
                return Mono.just(false);
            }
            validUntil = Optional.of(sentAt.plus(ttl.get()));
            return registered ? Mono.just(true) : register();
        });
    }

    private Mono<Boolean> register() {
        MetadataStore.Write write = new MetadataStore.Write(
                context.items().nodeKey(context.self().name()),
                NodeItems.encodeNode(context.self().withCutOff(cutOff)),
                lease);
        boolean written = cutOff;
        return context.store().write(write).publishOn(context.control()).map(revision -> {
            registered = revision.isPresent() && written == cutOff;
            registeredRevision = revision.orElse(0L);
            return registered;
        });
    }

    private void markCompleteEra() {
        OptionalLong era = state.eraToMark(context.clocks().nowMillis());
        if (leadership.isEmpty() || marking || era.isEmpty()) {
            return;
        }
        marking = true;
        context.store()
                .write(new MetadataStore.Write(
                        context.items().completeEraKey(), NodeItems.encodeEra(era.getAsLong()), 0))
                .publishOn(context.control())
                .doFinally(signal -> marking = false)
                .subscribe(revision -> state.onEraMarked(era.getAsLong()), error -> context.log()
                        .logState(LogFields.event("era of the metadata store not marked; the next turn repeats it")
                                .error(error)));
    }

    private void runElection() {
        markCompleteEra();
        PlatformView platform = context.view().get();
        boolean hasLeader = platform.leader().isPresent();
        long nowMillis = context.clocks().nowMillis();
        boolean namesThisNode = platform.leader().filter(leaderId()::equals).isPresent();
        if (hasLeader && !namesThisNode) {
            leadership = Optional.empty();
        }
        if (namesThisNode && leadership.isEmpty() && !released) {
            // The leader key was written, but the answer to the write was lost.
            becomeLeader(state.leaderRevision());
        }
        if (hasLeader || released || !registered || platform.revision() == 0) {
            leaderlessSinceMillis = -1;
            return;
        }
        if (leaderlessSinceMillis < 0) {
            leaderlessSinceMillis = nowMillis;
        }
        List<String> order = Rendezvous.top(
                "leader",
                platform.nodes().keySet(),
                name -> name,
                platform.nodes().size());
        int rank = Math.max(0, order.indexOf(context.self().name()));
        if (callInFlight || nowMillis - leaderlessSinceMillis < rank * CANDIDATE_DELAY_MILLIS) {
            return;
        }
        callInFlight = true;
        MetadataStore.Write write =
                new MetadataStore.Write(context.items().leaderKey(), NodeItems.encodeText(leaderId()), lease);
        // The registration tells that the lease is still this node's, also if the store was restored meanwhile.
        Map<String, Long> expected = Map.of(
                context.items().leaderKey(),
                MetadataStore.ABSENT,
                context.items().nodeKey(context.self().name()),
                registeredRevision);
        context.store()
                .writeIf(write, expected)
                .publishOn(context.control())
                .doFinally(signal -> callInFlight = false)
                .subscribe(revision -> revision.ifPresent(this::becomeLeader), this::onError);
    }

    // Includes the lease, so that a restarted process does not take its predecessor's leader key for its own.
    String leaderId() {
        return context.self().name() + LEASE_SEPARATOR + lease;
    }

    private void becomeLeader(long fencingToken) {
        boolean hasPredecessor = state.isRestored()
                || state.rolloutAnnouncer().filter(by -> !by.equals(leaderId())).isPresent();
        leadership = Optional.of(new Leadership(fencingToken, context.clocks().now(), hasPredecessor));
        context.log()
                .logState(LogFields.event("leads version rollouts")
                        .field("fencingToken", fencingToken)
                        .field("afterAnother", hasPredecessor));
    }
}
