package org.cowslipbank.decision.membership;

import java.util.ArrayList;
import java.util.List;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;
import org.cowslipbank.model.fleet.LoadFact;
import org.cowslipbank.model.fleet.MemberFact;
import org.cowslipbank.model.fleet.MemberStatus;
import org.cowslipbank.model.fleet.ReachabilityFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

/**
 * State of the protocol at one node. Immutable for readers: each step works on a fork, which shares the maps with the
 * earlier state until the first write.
 */
public final class MembershipState {
    final MembershipSettings settings;
    final CopyOnWriteMap<VmId, Member> members;
    final CopyOnWriteMap<UpstreamId, TimedFact<UpstreamFact>> upstreams;
    final CopyOnWriteMap<UpstreamId, TimedFact<LoadFact>> loads;
    final CopyOnWriteMap<String, TimedFact<SuspectFact>> suspects;
    final CopyOnWriteMap<String, ReachabilityFact> reach;
    final CopyOnWriteMap<FactKey, TransmissionCount> outbox;
    final CopyOnWriteMap<Long, PendingProbe> pending;
    final CopyOnWriteMap<DataCentreId, SyncState> syncs;
    final CopyOnWriteMap<DataCentreId, Integer> crossFailures;

    MemberFact self;
    int tableHash;
    List<VmId> probeOrder = List.of();
    long nextSequence = 1;
    long lastTickMillis;
    long nextProbeMillis;
    long nextDeadProbeMillis;
    long nextCrossProbeMillis;
    long nextSweepMillis;
    double budgetBytes;
    double syncBudgetBytes;
    long revision;
    long confirmedAtMillis = -1;
    long lastAckMillis = -1;
    boolean confirmed;
    long unconfirmedSinceMillis;
    boolean ackedSincePause;
    long version;

    /** Incremented when members, reachability or this node's own state change, but not with every load digest. */
    long nodesVersion;

    /** Cached for {@link #derivedVersion}, because scanning the members for every fact sent takes most of a step. */
    private List<Member> liveLocalMembers = List.of();

    private List<DataCentreId> gatewayTargets = List.of();
    private int localSuspectCount;
    private long derivedVersion = -1;

    MembershipState(MembershipSettings settings, MemberFact self, long nowMillis) {
        this.settings = settings;
        this.self = self;
        this.members = new CopyOnWriteMap<>();
        this.upstreams = new CopyOnWriteMap<>();
        this.loads = new CopyOnWriteMap<>();
        this.suspects = new CopyOnWriteMap<>();
        this.reach = new CopyOnWriteMap<>();
        this.outbox = new CopyOnWriteMap<>();
        this.pending = new CopyOnWriteMap<>();
        this.syncs = new CopyOnWriteMap<>();
        this.crossFailures = new CopyOnWriteMap<>();
        this.lastTickMillis = nowMillis;
        this.unconfirmedSinceMillis = nowMillis;
        this.tableHash = hash(self);
    }

    private MembershipState(MembershipState other) {
        settings = other.settings;
        members = other.members.fork();
        upstreams = other.upstreams.fork();
        loads = other.loads.fork();
        suspects = other.suspects.fork();
        reach = other.reach.fork();
        outbox = other.outbox.fork();
        pending = other.pending.fork();
        syncs = other.syncs.fork();
        crossFailures = other.crossFailures.fork();
        self = other.self;
        tableHash = other.tableHash;
        probeOrder = other.probeOrder;
        nextSequence = other.nextSequence;
        lastTickMillis = other.lastTickMillis;
        nextProbeMillis = other.nextProbeMillis;
        nextDeadProbeMillis = other.nextDeadProbeMillis;
        nextCrossProbeMillis = other.nextCrossProbeMillis;
        nextSweepMillis = other.nextSweepMillis;
        budgetBytes = other.budgetBytes;
        syncBudgetBytes = other.syncBudgetBytes;
        revision = other.revision;
        confirmedAtMillis = other.confirmedAtMillis;
        lastAckMillis = other.lastAckMillis;
        confirmed = other.confirmed;
        unconfirmedSinceMillis = other.unconfirmedSinceMillis;
        ackedSincePause = other.ackedSincePause;
        version = other.version;
        nodesVersion = other.nodesVersion;
        liveLocalMembers = other.liveLocalMembers;
        gatewayTargets = other.gatewayTargets;
        localSuspectCount = other.localSuspectCount;
        derivedVersion = other.derivedVersion;
    }

    MembershipState fork() {
        return new MembershipState(this);
    }

    DataCentreId dataCentre() {
        return self.dataCentre();
    }

    boolean isLocal(NodeAddress node) {
        return node.dataCentre().equals(self.dataCentre());
    }

    /** Adds or replaces a member and updates the table hash. */
    void putMember(Member member) {
        Member known = members.get(member.fact().vm());
        if (known != null) {
            tableHash ^= hash(known.fact());
        }
        tableHash ^= hash(member.fact());
        members.put(member.fact().vm(), member);
        incrementNodesVersion();
    }

    void removeMember(VmId vm) {
        Member known = members.remove(vm);
        if (known != null) {
            tableHash ^= hash(known.fact());
            incrementNodesVersion();
        }
    }

    void incrementNodesVersion() {
        version++;
        nodesVersion++;
    }

    /** Returns the nodes of the local data centre that are not dead, without this node. */
    List<Member> liveLocalMembers() {
        updateDerived();
        return liveLocalMembers;
    }

    /** Returns the other data centres that this node probes as a gateway. */
    List<DataCentreId> gatewayTargets() {
        updateDerived();
        return gatewayTargets;
    }

    int localSuspectCount() {
        updateDerived();
        return localSuspectCount;
    }

    private void updateDerived() {
        if (derivedVersion == nodesVersion) {
            return;
        }
        liveLocalMembers = members.view().values().stream()
                .filter(member -> !member.isDead() && member.fact().dataCentre().equals(dataCentre()))
                .toList();
        localSuspectCount = (int) liveLocalMembers.stream()
                .filter(member -> member.fact().status() == MemberStatus.SUSPECT)
                .count();
        gatewayTargets = otherDataCentres().stream()
                .filter(other -> gateways(liveLocalMembers, other).contains(self.vm()))
                .toList();
        derivedVersion = nodesVersion;
    }

    /** Returns the nodes of the local data centre that probe another one. */
    List<VmId> gateways(DataCentreId other) {
        return gateways(liveLocalMembers(), other);
    }

    List<DataCentreId> otherDataCentres() {
        return members.view().values().stream()
                .map(member -> member.fact().dataCentre())
                .filter(other -> !other.equals(dataCentre()))
                .distinct()
                .sorted()
                .toList();
    }

    private List<VmId> gateways(List<Member> live, DataCentreId other) {
        List<VmId> candidates = new ArrayList<>();
        live.forEach(member -> candidates.add(member.fact().vm()));
        candidates.add(self.vm());
        String key = Rendezvous.key("gateway", dataCentre().value(), other.value());
        return Rendezvous.top(key, candidates, VmId::value, settings.gateways());
    }
    /** Adds a fact other than a member's to the table hash, or removes it again. */
    void toggleHash(FactKey key, long factVersion) {
        tableHash ^= (int) Rendezvous.weight(Rendezvous.hash(key.kind() + key.id()), factVersion);
    }

    void putUpstream(UpstreamFact fact, long expiresAtMillis) {
        removeUpstream(fact.upstream());
        toggleHash(new FactKey(FactKey.Kind.UPSTREAM, fact.upstream().value()), fact.version());
        upstreams.put(fact.upstream(), new TimedFact<>(fact, expiresAtMillis));
    }

    void removeUpstream(UpstreamId upstream) {
        TimedFact<UpstreamFact> known = upstreams.remove(upstream);
        if (known != null) {
            toggleHash(
                    new FactKey(FactKey.Kind.UPSTREAM, upstream.value()),
                    known.fact().version());
        }
        version++;
    }

    void putSuspect(String id, SuspectFact fact, long expiresAtMillis) {
        removeSuspect(id);
        toggleHash(new FactKey(FactKey.Kind.SUSPECT, id), fact.cleared() ? 1 : 0);
        suspects.put(id, new TimedFact<>(fact, expiresAtMillis));
    }

    void removeSuspect(String id) {
        TimedFact<SuspectFact> known = suspects.remove(id);
        if (known != null) {
            toggleHash(new FactKey(FactKey.Kind.SUSPECT, id), known.fact().cleared() ? 1 : 0);
        }
        version++;
    }

    void replaceSelf(MemberFact next) {
        tableHash ^= hash(self) ^ hash(next);
        self = next;
        incrementNodesVersion();
    }

    /**
     * Returns the version of the view, which increases with every change. Two states of one node with the same version
     * have the same nodes and facts.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns whether the view has been confirmed by answered probes since the node started or was last paused.
     *
     * @return true if the view is confirmed
     */
    public boolean isConfirmed() {
        return confirmed;
    }

    /**
     * Returns the time until which the state is valid. After it, a reader must assume that the node was paused, even if
     * the control loop has not detected the pause yet.
     *
     * @return the time in milliseconds
     */
    public long validUntilMillis() {
        return lastTickMillis + settings.pauseDetectionMillis();
    }

    /**
     * Returns when a probe was last answered, counting only answers since the last pause.
     *
     * @return the time in milliseconds, negative if none was answered
     */
    public long lastAckMillis() {
        return lastAckMillis;
    }

    /**
     * Returns the configuration revision that this node has applied.
     *
     * @return the revision, zero if there is none
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns when the platform last confirmed that revision, according to this node and its peers.
     *
     * @return the time in milliseconds, negative if never
     */
    public long confirmedAtMillis() {
        return confirmedAtMillis;
    }

    /**
     * Hash of one member; the table hash is the exclusive or of all. Dead members hash to zero, because nodes remove them
     * at different times. A suspect hashes like an alive member, because suspicions stay within the data centre.
     * Incarnations are left out, because after the start of a large fleet it takes minutes until every node has all of
     * them, and a fact with an old incarnation is answered with the newer one anyway.
     */
    private static int hash(MemberFact fact) {
        if (fact.status() == MemberStatus.DEAD) {
            return 0;
        }
        return (int) Rendezvous.weight(Rendezvous.hash(fact.vm().value()), fact.leaving() ? 1 : 0);
    }
}
