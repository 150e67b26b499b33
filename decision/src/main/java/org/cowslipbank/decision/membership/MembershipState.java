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
import org.cowslipbank.model.fleet.ReachFact;
import org.cowslipbank.model.fleet.SuspectFact;
import org.cowslipbank.model.fleet.UpstreamFact;

/**
 * State of the protocol at one node. A state that was handed out never changes: a step works on a fork, which shares
 * the maps until it writes to them.
 */
public final class MembershipState {
    final MembershipSettings settings;
    final CowMap<VmId, Member> members;
    final CowMap<UpstreamId, Held<UpstreamFact>> upstreams;
    final CowMap<UpstreamId, Held<LoadFact>> loads;
    final CowMap<String, Held<SuspectFact>> suspects;
    final CowMap<String, ReachFact> reach;
    final CowMap<FactKey, Transmissions> outbox;
    final CowMap<Long, Pending> pending;
    final CowMap<DataCentreId, SyncState> syncs;
    final CowMap<DataCentreId, Integer> crossFailures;

    MemberFact self;
    int tableHash;
    List<VmId> probeOrder = List.of();
    long nextSequence = 1;
    long lastTickMillis;
    long nextProbeMillis;
    long nextDeadProbeMillis;
    long nextCrossMillis;
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

    /** Rises when members, reachability or this node's own state change, not with every load digest. */
    long nodesVersion;

    /** Derived from the members at {@link #derivedVersion}, because a scan for every fact sent costs most of a step. */
    private List<Member> ownLive = List.of();

    private List<DataCentreId> gatewayTo = List.of();
    private int suspectCount;
    private long derivedVersion = -1;

    MembershipState(MembershipSettings settings, MemberFact self, long nowMillis) {
        this.settings = settings;
        this.self = self;
        this.members = new CowMap<>();
        this.upstreams = new CowMap<>();
        this.loads = new CowMap<>();
        this.suspects = new CowMap<>();
        this.reach = new CowMap<>();
        this.outbox = new CowMap<>();
        this.pending = new CowMap<>();
        this.syncs = new CowMap<>();
        this.crossFailures = new CowMap<>();
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
        nextCrossMillis = other.nextCrossMillis;
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
        ownLive = other.ownLive;
        gatewayTo = other.gatewayTo;
        suspectCount = other.suspectCount;
        derivedVersion = other.derivedVersion;
    }

    MembershipState fork() {
        return new MembershipState(this);
    }

    DataCentreId dataCentre() {
        return self.dataCentre();
    }

    boolean isOwnDataCentre(NodeAddress node) {
        return node.dataCentre().equals(self.dataCentre());
    }

    /** Replaces a member and keeps the table hash. */
    void putMember(Member member) {
        Member known = members.get(member.fact().vm());
        if (known != null) {
            tableHash ^= hash(known.fact());
        }
        tableHash ^= hash(member.fact());
        members.put(member.fact().vm(), member);
        nodesChanged();
    }

    void removeMember(VmId vm) {
        Member known = members.remove(vm);
        if (known != null) {
            tableHash ^= hash(known.fact());
            nodesChanged();
        }
    }

    void nodesChanged() {
        version++;
        nodesVersion++;
    }

    /** Nodes of the own data centre that are not dead, without this one. */
    List<Member> ownLive() {
        derive();
        return ownLive;
    }

    /** The other data centres for which this node is a gateway. */
    List<DataCentreId> gatewayTo() {
        derive();
        return gatewayTo;
    }

    int suspectCount() {
        derive();
        return suspectCount;
    }

    private void derive() {
        if (derivedVersion == nodesVersion) {
            return;
        }
        ownLive = members.view().values().stream()
                .filter(member -> !member.isDead() && member.fact().dataCentre().equals(dataCentre()))
                .toList();
        suspectCount = (int) ownLive.stream()
                .filter(member -> member.fact().status() == MemberStatus.SUSPECT)
                .count();
        gatewayTo = otherDataCentres().stream()
                .filter(other -> gateways(ownLive, other).contains(self.vm()))
                .toList();
        derivedVersion = nodesVersion;
    }

    /** The nodes of the own data centre that probe another one. */
    List<VmId> gateways(DataCentreId other) {
        return gateways(ownLive(), other);
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
    /** Adds or removes a fact other than a member's from the table hash; applying it twice undoes it. */
    void toggleHash(FactKey key, long factVersion) {
        tableHash ^= (int) Rendezvous.weight(Rendezvous.hash(key.kind() + key.id()), factVersion);
    }

    void putUpstream(UpstreamFact fact, long deadlineMillis) {
        removeUpstream(fact.upstream());
        toggleHash(new FactKey(FactKey.Kind.UPSTREAM, fact.upstream().value()), fact.version());
        upstreams.put(fact.upstream(), new Held<>(fact, deadlineMillis));
    }

    void removeUpstream(UpstreamId upstream) {
        Held<UpstreamFact> known = upstreams.remove(upstream);
        if (known != null) {
            toggleHash(
                    new FactKey(FactKey.Kind.UPSTREAM, upstream.value()),
                    known.fact().version());
        }
        version++;
    }

    void putSuspect(String id, SuspectFact fact, long deadlineMillis) {
        removeSuspect(id);
        toggleHash(new FactKey(FactKey.Kind.SUSPECT, id), fact.cleared() ? 1 : 0);
        suspects.put(id, new Held<>(fact, deadlineMillis));
    }

    void removeSuspect(String id) {
        Held<SuspectFact> known = suspects.remove(id);
        if (known != null) {
            toggleHash(new FactKey(FactKey.Kind.SUSPECT, id), known.fact().cleared() ? 1 : 0);
        }
        version++;
    }

    void replaceSelf(MemberFact next) {
        tableHash ^= hash(self) ^ hash(next);
        self = next;
        nodesChanged();
    }

    /**
     * Returns the number of times the view has changed. Two states of one node with the same version have the same
     * nodes and facts.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Tells whether probes have been answered since the node started or was last paused.
     *
     * @return true if the view is confirmed
     */
    public boolean isConfirmed() {
        return confirmed;
    }

    /**
     * Returns the time up to which the state may be relied upon. A reader that finds this time passed must assume that
     * the node was paused, even if the control loop has not noticed it yet.
     *
     * @return the time in milliseconds
     */
    public long validUntilMillis() {
        return lastTickMillis + settings.pauseMillis();
    }

    /**
     * Returns when a probe was last answered since the last pause.
     *
     * @return the time in milliseconds, negative if none was answered
     */
    public long lastAckMillis() {
        return lastAckMillis;
    }

    /**
     * Returns the configuration revision in force at this node.
     *
     * @return the revision, zero if there is none
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns when the platform last confirmed that revision, as far as this node or a peer knows.
     *
     * @return the time in milliseconds, negative if never
     */
    public long confirmedAtMillis() {
        return confirmedAtMillis;
    }

    /**
     * Hash of one member, combined by exclusive or. Dead members count for nothing, because nodes forget them at
     * different times; a suspicion counts as alive, because it stays within its data centre; incarnations count for
     * nothing, because after the start of a large fleet it takes minutes until every node knows all of them, and a
     * statement at an old incarnation is answered with the newer one.
     */
    private static int hash(MemberFact fact) {
        if (fact.status() == MemberStatus.DEAD) {
            return 0;
        }
        return (int) Rendezvous.weight(Rendezvous.hash(fact.vm().value()), fact.leaving() ? 1 : 0);
    }
}
