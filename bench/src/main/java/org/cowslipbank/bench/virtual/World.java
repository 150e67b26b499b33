package org.cowslipbank.bench.virtual;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

import org.cowslipbank.decision.admission.TeamShare;
import org.cowslipbank.decision.suspects.CopyGuard;
import org.cowslipbank.decision.suspects.SuspectArbiter;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;
import org.cowslipbank.model.VmId;

/** Nodes, engines and callers on one virtual clock. */
public final class World {
    /** Time that a message takes, in milliseconds. */
    static final long LATENCY_MILLIS = 2;

    /** Time that a weight load takes, in milliseconds. */
    static final long LOAD_MILLIS = 400;

    /** Time within which all nodes know that an engine leaves. */
    private static final long ANNOUNCE_MILLIS = 2_000;

    /** Time in which nodes notice a change of guards and report their copies to the new ones. */
    private static final long GUARD_REPORT_MILLIS = 50;

    private static final long REPORT_MILLIS = 100;
    private static final long TICK_MILLIS = 50;
    private static final long GOSSIP_MILLIS = 1_000;

    final WorldOptions options;
    final VirtualClock clock = new VirtualClock();
    final Random random;
    final List<SimNode> nodes = new ArrayList<>();
    final List<SimEngine> engines = new ArrayList<>();
    final Set<UpstreamId> exclusive = new HashSet<>();
    final SuspectArbiter arbiter = new SuspectArbiter(-SuspectArbiter.LEASE_MILLIS);
    ModelRef activeModel = new ModelRef("review", "v1", "");
    Function<TeamId, TeamShare> shares = team -> new TeamShare(team, 1e6, 1e6, 1_000_000, 1);
    int interrupted;
    int crashedByRequest;
    private final List<SimCaller> callers = new ArrayList<>();
    private final List<VmId> nodeIds = new ArrayList<>();
    private final Set<UpstreamId> leaving = new HashSet<>();
    private final Map<DataCentreId, Integer> loads = new HashMap<>();
    private int mostLoads;

    /**
     * Creates a world.
     *
     * @param options size and behaviour
     */
    public World(WorldOptions options) {
        this.options = options;
        this.random = new Random(options.seed());
        for (int number = 0; number < options.engines(); number++) {
            DataCentreId dataCentre = new DataCentreId("dc" + number % options.dataCentres());
            engines.add(new SimEngine(this, new UpstreamId("e" + number), dataCentre, activeModel));
        }
        for (int number = 0; number < options.nodes(); number++) {
            VmId id = new VmId("n" + number);
            nodeIds.add(id);
            nodes.add(new SimNode(this, id));
        }
        nodes.forEach(SimNode::refreshReports);
        clock.every(REPORT_MILLIS, () -> nodes.forEach(SimNode::refreshReports));
        clock.every(TICK_MILLIS, this::tick);
        clock.every(GOSSIP_MILLIS, this::gossip);
    }

    private void tick() {
        nodes.forEach(SimNode::tickStreams);
        if (options.admission()) {
            nodes.forEach(SimNode::tickAdmission);
        }
    }

    private void gossip() {
        for (SimNode node : nodes) {
            SimNode other = nodes.get(random.nextInt(nodes.size()));
            node.facts = node.facts.merge(other.facts.crashes(), other.facts.clears(), clock.nowMillis());
            other.facts = other.facts.merge(node.facts.crashes(), node.facts.clears(), clock.nowMillis());
        }
    }

    /**
     * Returns the clock.
     *
     * @return the clock
     */
    public VirtualClock clock() {
        return clock;
    }

    /**
     * Returns the random source.
     *
     * @return the random source
     */
    public Random random() {
        return random;
    }

    /**
     * Returns the engines.
     *
     * @return the engines
     */
    public List<SimEngine> engines() {
        return Collections.unmodifiableList(engines);
    }

    /**
     * Returns all callers so far.
     *
     * @return the callers
     */
    public List<SimCaller> callers() {
        return Collections.unmodifiableList(callers);
    }

    /**
     * Sets the teams' shares at each node.
     *
     * @param changed the share of a team
     */
    public void shares(Function<TeamId, TeamShare> changed) {
        shares = changed;
    }

    /**
     * Sends a request to a node now.
     *
     * @param node the node's number
     * @param request the request
     * @return what the caller sees
     */
    public SimCaller submit(int node, SimRequest request) {
        SimCaller caller = new SimCaller(request, clock.nowMillis());
        callers.add(caller);
        nodes.get(node).submit(caller);
        return caller;
    }

    /**
     * Sets the version on which new requests run.
     *
     * @param model the model, weight version and adapter
     */
    public void activate(ModelRef model) {
        activeModel = model;
    }

    /**
     * Returns the version on which new requests run.
     *
     * @return the model, weight version and adapter
     */
    public ModelRef activeModel() {
        return activeModel;
    }

    /**
     * Returns the number of runs that retiring engines interrupted.
     *
     * @return the number
     */
    public int interrupted() {
        return interrupted;
    }

    /**
     * Returns the number of engines that a request crashed.
     *
     * @return the number
     */
    public int crashedByRequest() {
        return crashedByRequest;
    }

    /**
     * Returns the most concurrent weight loads seen in a data centre.
     *
     * @return the number
     */
    public int mostLoads() {
        return mostLoads;
    }

    /**
     * Returns the number of runs that engines hold and nobody reads.
     *
     * @return the number of runs in flight whose caller has left
     */
    public long orphanRuns() {
        return engines.stream()
                .flatMap(engine -> engine.runs.values().stream())
                .filter(run -> !run.finished && (run.caller.gone || run.caller.endedMillis >= 0))
                .count();
    }

    SimEngine engine(UpstreamId id) {
        return engines.stream()
                .filter(engine -> engine.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    List<VmId> nodeIds() {
        return nodeIds;
    }

    SimNode guardOf(long fingerprint) {
        return nodes.get(nodeIds.indexOf(CopyGuard.guardOf(fingerprint, nodeIds)));
    }

    SimNode nextGuardOf(long fingerprint) {
        return nodes.get(nodeIds.indexOf(CopyGuard.nextGuardOf(fingerprint, nodeIds)));
    }

    /** Lets all guards lose their state, as when the membership changes; the nodes report their copies a little later. */
    public void changeGuards() {
        nodes.forEach(SimNode::loseGuard);
        clock.after(GUARD_REPORT_MILLIS, () -> nodes.forEach(SimNode::reportCopies));
    }

    SimNode arbiterNode() {
        return nodes.get(0);
    }

    boolean noEngineWith(ModelRef model) {
        return engines.stream().noneMatch(engine -> engine.loaded.equals(model) && !engine.loading);
    }

    boolean chance(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Tells the nodes whether an engine leaves; they know within the time of a few probes. */
    void announce(UpstreamId upstream, boolean leaves) {
        long delayMillis = leaves ? random.nextInt((int) ANNOUNCE_MILLIS) : 0;
        clock.after(delayMillis, () -> {
            if (leaves) {
                leaving.add(upstream);
            } else {
                leaving.remove(upstream);
            }
        });
    }

    boolean leaving(UpstreamId upstream) {
        return leaving.contains(upstream);
    }

    void loadStarted(DataCentreId dataCentre) {
        mostLoads = Math.max(mostLoads, loads.merge(dataCentre, 1, Integer::sum));
    }

    void loadEnded(DataCentreId dataCentre) {
        loads.merge(dataCentre, -1, Integer::sum);
    }
}
