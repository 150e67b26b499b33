package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.decision.relay.OrderTurn;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.MetadataStore;
import reactor.core.publisher.Mono;

/**
 * The node's lease in the metadata store, with its registration and, at one node, the leader's key. All end with the
 * lease. Runs on the control thread.
 */
final class NodeLease {
    /** Lifetime of the lease: a node that is cut off leaves the look-ups, and the leader is replaced, within it. */
    static final long TTL_MILLIS = 1_600;

    /** How often it is renewed: three renewals may be lost. */
    static final long RENEW_MILLIS = 400;

    /** Nodes try to become leader one after the other, so that mostly one call is made. */
    static final long CANDIDATE_STEP_MILLIS = 120;

    private final ControlParts parts;
    private final PlatformState state;
    private final long ttlMillis;
    private long lease;
    private boolean registered;
    private boolean leaving;
    private boolean busy;
    private long leaderlessSinceMillis = -1;
    private Optional<OrderTurn.Moment> validUntil = Optional.empty();
    private volatile Optional<Held> held = Optional.empty();

    /** The leader's key as this node holds it. */
    private record Held(long fencingToken, OrderTurn.Moment since, boolean afterAnother) {}

    NodeLease(ControlParts parts, PlatformState state, long minLeaseMillis) {
        this.parts = parts;
        this.state = state;
        this.ttlMillis = Math.max(minLeaseMillis, TTL_MILLIS);
    }

    void start() {
        parts.control().schedulePeriodically(this::tick, 0, RENEW_MILLIS, TimeUnit.MILLISECONDS);
        parts.control().schedulePeriodically(this::lead, RENEW_MILLIS, CANDIDATE_STEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends the lease, so that the other nodes stop naming this one. */
    void leave() {
        parts.control().schedule(() -> {
            leaving = true;
            held = Optional.empty();
            if (lease != 0) {
                parts.store().endLease(lease).subscribe(done -> {}, error -> parts.log()
                        .state(LogFields.event("lease not ended; it runs out").error(error)));
            }
        });
    }

    /**
     * Returns the turn for orders with its fencing token.
     *
     * @return the turn, or empty if another node leads
     */
    Optional<OrderTurn> turn() {
        return held.flatMap(key -> validUntil.map(until -> new OrderTurn(key.since(), until, key.afterAnother())));
    }

    /**
     * Tells whether this node holds the leader's lease; for duties that do no harm if two nodes have them.
     *
     * @return true if it does
     */
    boolean isLeader() {
        return held.isPresent() && parts.view().get().leader().isPresent();
    }

    long fencingToken() {
        return held.map(Held::fencingToken).orElse(0L);
    }

    private void tick() {
        if (leaving || busy) {
            return;
        }
        busy = true;
        OrderTurn.Moment sentAt = parts.clocks().now();
        Mono<Boolean> step = lease == 0 ? grant(sentAt) : renew(sentAt);
        step.publishOn(parts.control()).doFinally(signal -> busy = false).subscribe(done -> {}, this::onError);
    }

    private void onError(Throwable error) {
        parts.log().state(LogFields.event("lease not renewed").error(error));
    }

    private Mono<Boolean> grant(OrderTurn.Moment sentAt) {
        return parts.store().grantLease(ttlMillis).publishOn(parts.control()).flatMap(granted -> {
            lease = granted.id();
            held = Optional.empty();
            validUntil = Optional.of(sentAt.plus(granted.ttlMillis()));
            return register();
        });
    }

    private Mono<Boolean> renew(OrderTurn.Moment sentAt) {
        return parts.store().renewLease(lease).publishOn(parts.control()).flatMap(ttl -> {
            if (ttl.isEmpty()) {
                parts.log().state(LogFields.event("lease has ended").field("lease", lease));
                lease = 0;
                registered = false;
                held = Optional.empty();
                return Mono.just(false);
            }
            validUntil = Optional.of(sentAt.plus(ttl.get()));
            return registered ? Mono.just(true) : register();
        });
    }

    private Mono<Boolean> register() {
        MetadataStore.Write write = new MetadataStore.Write(
                parts.items().nodeKey(parts.self().name()), OwnItems.encodeNode(parts.self()), lease);
        return parts.store().write(write).publishOn(parts.control()).map(revision -> {
            registered = revision.isPresent();
            return registered;
        });
    }

    private void lead() {
        PlatformView now = parts.view().get();
        boolean led = now.leader().isPresent();
        long nowMillis = parts.clocks().nowMillis();
        boolean leads = now.leader().filter(leaderValue()::equals).isPresent();
        if (led && !leads) {
            held = Optional.empty();
        }
        if (leads && held.isEmpty()) {
            // The answer to the write was lost.
            hold(state.leaderRevision());
        }
        if (led || leaving || !registered || now.revision() == 0) {
            leaderlessSinceMillis = -1;
            return;
        }
        if (leaderlessSinceMillis < 0) {
            leaderlessSinceMillis = nowMillis;
        }
        List<String> order = Rendezvous.top(
                "leader", now.nodes().keySet(), name -> name, now.nodes().size());
        int rank = Math.max(0, order.indexOf(parts.self().name()));
        if (busy || nowMillis - leaderlessSinceMillis < rank * CANDIDATE_STEP_MILLIS) {
            return;
        }
        busy = true;
        MetadataStore.Write write =
                new MetadataStore.Write(parts.items().leaderKey(), OwnItems.encodeText(leaderValue()), lease);
        parts.store()
                .writeIf(write, MetadataStore.ABSENT)
                .publishOn(parts.control())
                .doFinally(signal -> busy = false)
                .subscribe(revision -> revision.ifPresent(this::hold), this::onError);
    }

    // Names this lifetime of the node, so that a restarted process does not take over its predecessor's key.
    String leaderValue() {
        return parts.self().name() + "#" + lease;
    }

    private void hold(long fencingToken) {
        boolean afterAnother =
                state.rolloutBy().filter(by -> !by.equals(leaderValue())).isPresent();
        held = Optional.of(new Held(fencingToken, parts.clocks().now(), afterAnother));
        parts.log()
                .state(LogFields.event("leads version rollouts")
                        .field("fencingToken", fencingToken)
                        .field("afterAnother", afterAnother));
    }
}
