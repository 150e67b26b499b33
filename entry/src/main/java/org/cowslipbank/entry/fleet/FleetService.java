package org.cowslipbank.entry.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cowslipbank.decision.membership.FleetEffect;
import org.cowslipbank.decision.membership.FleetEvent;
import org.cowslipbank.decision.membership.FleetView;
import org.cowslipbank.decision.membership.ListedNode;
import org.cowslipbank.decision.membership.Membership;
import org.cowslipbank.decision.membership.MembershipState;
import org.cowslipbank.decision.membership.NodeAddress;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.GossipPayload;
import org.cowslipbank.peer.PeerIdentity;
import org.cowslipbank.peer.PeerMessage;
import org.cowslipbank.peer.PeerTransport;
import org.cowslipbank.ports.VmEntry;
import org.cowslipbank.ports.VmKind;
import org.cowslipbank.ports.VmList;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Runs the membership protocol of one node. A single control thread owns the state and publishes immutable snapshots,
 * which any thread may read.
 */
public final class FleetService {
    private static final Logger LOG = LogManager.getLogger(FleetService.class);

    /** Capacity of the control thread's message queue; further messages are dropped, as a network would drop them. */
    private static final int MAX_QUEUED_MESSAGES = 1_000;

    private final FleetSettings settings;
    private final PeerTransport transport;
    private final VmList vmList;
    private final LongSupplier clockMillis;
    private final Scheduler control;
    private final SplittableRandom seeds;
    private final AtomicInteger queuedMessages = new AtomicInteger();
    private final List<FleetListener> listeners = new CopyOnWriteArrayList<>();
    private final List<Disposable> timers = new ArrayList<>();
    private MembershipState state;
    private volatile FleetSnapshot snapshot;

    /**
     * Creates a service without starting it.
     *
     * @param settings the settings
     * @param transport the transport, not started; the service registers its message handler
     * @param vmList the platform's VM list
     * @param clockMillis a monotonic clock in milliseconds that starts near the wall-clock time, see
     *     {@link #monotonicClock()}
     */
    public FleetService(FleetSettings settings, PeerTransport transport, VmList vmList, LongSupplier clockMillis) {
        this(settings, transport, vmList, clockMillis, Schedulers.newSingle("fleet-control", true));
    }

    /** Creates a service on a given scheduler, so that tests can run it without a thread. */
    FleetService(
            FleetSettings settings,
            PeerTransport transport,
            VmList vmList,
            LongSupplier clockMillis,
            Scheduler control) {
        this.settings = settings;
        this.transport = transport;
        this.vmList = vmList;
        this.clockMillis = clockMillis;
        this.control = control;
        this.seeds = new SplittableRandom(settings.seed());
        long now = clockMillis.getAsLong();
        MembershipState started = Membership.initialState(settings.membership(), settings.self(), now, now);
        this.state = Membership.apply(
                        started, new FleetEvent.NodesListed(settings.listedSeeds()), now, seeds.nextLong())
                .state();
        this.snapshot = snapshotOf(FleetView.of(state));
        transport.onMessage(this::receive);
    }

    /**
     * Returns a clock that starts at the wall-clock time and advances with the JVM's monotonic time.
     *
     * @return the clock, in milliseconds
     */
    public static LongSupplier monotonicClock() {
        long startMillis = System.currentTimeMillis();
        long startNanos = System.nanoTime();
        return () -> startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /**
     * Starts the timers on the control thread. The transport must be listening already or start soon.
     *
     * @return completes when the timers are scheduled
     */
    public Mono<Void> start() {
        return Mono.fromRunnable(() -> {
            long tick = settings.tickMillis();
            long list = settings.vmListPeriodMillis();
            timers.add(control.schedulePeriodically(this::tick, 0, tick, TimeUnit.MILLISECONDS));
            timers.add(control.schedulePeriodically(this::readVmList, 0, list, TimeUnit.MILLISECONDS));
        });
    }

    /**
     * Stops the timers and the control thread, but not the transport.
     *
     * @return completes when the timers are cancelled
     */
    public Mono<Void> stop() {
        return Mono.fromRunnable(() -> {
            timers.forEach(Disposable::dispose);
            control.dispose();
        });
    }

    /**
     * Returns the last published snapshot. Any thread may call this.
     *
     * @return the snapshot
     */
    public FleetSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Returns the time on the service's clock, which the times in snapshots refer to.
     *
     * @return the time in milliseconds
     */
    public long nowMillis() {
        return clockMillis.getAsLong();
    }

    /**
     * Adds a listener.
     *
     * @param listener the listener
     */
    public void addListener(FleetListener listener) {
        listeners.add(listener);
    }

    /**
     * Publishes facts to the fleet. Any thread may call this.
     *
     * @param facts upstream, suspect and load facts; their versions are raised above the known ones
     */
    public void publish(GossipPayload facts) {
        submit(new FleetEvent.Published(facts));
    }

    /**
     * Sets the configuration revision in force at this node. Called on every change and every confirmation.
     *
     * @param revision the revision
     * @param confirmedAtMillis when the platform last confirmed it, on this service's clock; negative if never
     */
    public void reportRevision(long revision, long confirmedAtMillis) {
        submit(new FleetEvent.RevisionApplied(revision, confirmedAtMillis));
    }

    /**
     * Announces that this node is leaving. It drops out of every node's look-up answers, but must keep serving callers
     * that hold an older answer.
     */
    public void drain() {
        submit(new FleetEvent.Drain());
    }

    private void receive(PeerIdentity from, PeerMessage message) {
        if (queuedMessages.incrementAndGet() > MAX_QUEUED_MESSAGES) {
            queuedMessages.decrementAndGet();
            return;
        }
        control.schedule(() -> {
            queuedMessages.decrementAndGet();
            if (message instanceof PeerMessage.ProbeAck ack) {
                notifyListeners(listener -> listener.onAcknowledged(from, ack.digest()));
            }
            FleetMessages.toPacket(message)
                    .ifPresent(packet -> step(new FleetEvent.Received(FleetMessages.nodeAddress(from), packet)));
        });
    }

    private void submit(FleetEvent event) {
        control.schedule(() -> step(event));
    }

    private void tick() {
        step(new FleetEvent.Tick());
    }

    private void readVmList() {
        vmList.list()
                .timeout(Duration.ofMillis(settings.vmListPeriodMillis()))
                .subscribe(
                        entries -> submit(new FleetEvent.NodesListed(mergeWithSeeds(entries))),
                        error -> LOG.warn("cannot read the VM list, keeping the last one: {}", error.toString()));
    }

    /** Merges the VM list with the seeds, which are always included because the platform's list lags behind. */
    private List<ListedNode> mergeWithSeeds(List<VmEntry> entries) {
        Map<VmId, ListedNode> nodes = new LinkedHashMap<>();
        settings.listedSeeds().forEach(seed -> nodes.put(seed.node().vm(), seed));
        entries.stream().filter(entry -> entry.kind() == VmKind.ENTRY).forEach(entry -> {
            int callerPort = nodes.containsKey(entry.vm())
                    ? nodes.get(entry.vm()).node().callerPort()
                    : settings.self().callerPort();
            NodeAddress node = new NodeAddress(entry.vm(), entry.dataCentre(), entry.address(), callerPort);
            nodes.put(entry.vm(), new ListedNode(node, entry.leaving()));
        });
        return List.copyOf(nodes.values());
    }

    /** Runs on the control thread only. */
    private void step(FleetEvent event) {
        try {
            Membership.Outcome outcome = Membership.apply(state, event, clockMillis.getAsLong(), seeds.nextLong());
            state = outcome.state();
            snapshot = snapshotOf(FleetView.of(state, snapshot.view()));
            outcome.effects().forEach(this::execute);
        } catch (RuntimeException e) {
            // The control thread must survive; a failed step leaves the state unchanged.
            LOG.error("membership step failed for event {}", event.getClass().getSimpleName(), e);
        }
    }

    private FleetSnapshot snapshotOf(FleetView view) {
        return new FleetSnapshot(
                view,
                state.isConfirmed(),
                state.validUntilMillis(),
                state.lastAckMillis(),
                state.revision(),
                state.confirmedAtMillis());
    }

    private void execute(FleetEffect effect) {
        if (effect instanceof FleetEffect.Send send) {
            transport
                    .send(FleetMessages.peerAddress(send.to()), FleetMessages.toMessage(send.packet()))
                    .subscribe(
                            sent -> {},
                            error -> LOG.debug(
                                    "cannot send {} to {}: {}",
                                    send.packet().kind(),
                                    send.to().vm().value(),
                                    error.toString()));
        } else if (effect instanceof FleetEffect.ResetConnection reset) {
            transport.retireConnections(FleetMessages.peerAddress(reset.to()));
        } else if (effect instanceof FleetEffect.FactsChanged changed) {
            notifyListeners(listener -> listener.onFacts(changed.facts()));
        } else if (effect instanceof FleetEffect.NewerRevisionFound newer) {
            notifyListeners(
                    listener -> listener.onNewerRevision(newer.revision(), FleetMessages.peerAddress(newer.from())));
        } else if (effect instanceof FleetEffect.ConfirmationLost) {
            LOG.warn("control thread was paused: leases and snapshots are unconfirmed until a peer answers");
            notifyListeners(FleetListener::onConfirmationLost);
        } else if (effect instanceof FleetEffect.Confirmed) {
            notifyListeners(FleetListener::onConfirmed);
        }
    }

    private void notifyListeners(Consumer<FleetListener> notification) {
        for (FleetListener listener : listeners) {
            try {
                notification.accept(listener);
            } catch (RuntimeException e) {
                LOG.error("fleet listener {} failed", listener.getClass().getName(), e);
            }
        }
    }
}
