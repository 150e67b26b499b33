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

/** Simulated deployment: nodes, engines and callers on one virtual clock. */
public final class SimulatedDeployment {
    /** One-way message latency. */
    static final long LATENCY_MILLIS = 2;

    /** Duration of a weight load. */
    static final long LOAD_MILLIS = 400;

    /** Upper limit of the time until the nodes learn that an engine leaves. */
    private static final long ANNOUNCE_MILLIS = 2_000;

    /** Time until nodes report their attempts in flight to the new guards after a membership change. */
    private static final long GUARD_REPORT_MILLIS = 50;

    private static final long REPORT_INTERVAL_MILLIS = 100;
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long GOSSIP_INTERVAL_MILLIS = 1_000;

    final DeploymentOptions options;
    final VirtualClock clock = new VirtualClock();
    final Random random;
    final List<SimNode> nodes = new ArrayList<>();
    final List<SimEngine> engines = new ArrayList<>();
    final Set<UpstreamId> exclusiveUpstreams = new HashSet<>();
    final SuspectArbiter arbiter = new SuspectArbiter(-SuspectArbiter.LEASE_MILLIS);
    ModelRef activeModel = new ModelRef("review", "v1", "");
    Function<TeamId, TeamShare> shares = team -> new TeamShare(team, 1e6, 1e6, 1_000_000, 1);
    int interrupted;
    int crashedByRequest;
    private final List<SimCaller> callers = new ArrayList<>();
    private final List<VmId> nodeIds = new ArrayList<>();
    private final Set<UpstreamId> leaving = new HashSet<>();
    private final Map<DataCentreId, Integer> loadsInProgress = new HashMap<>();
    private int maxConcurrentLoads;

    /**
     * Creates a deployment and schedules its periodic work.
     *
     * @param options size, timing and faults
     */
    public SimulatedDeployment(DeploymentOptions options) {
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
        clock.every(REPORT_INTERVAL_MILLIS, () -> nodes.forEach(SimNode::refreshReports));
        clock.every(TICK_INTERVAL_MILLIS, this::tick);
        clock.every(GOSSIP_INTERVAL_MILLIS, this::gossip);
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
            node.suspectFacts = node.suspectFacts.merge(
                    other.suspectFacts.crashes(), other.suspectFacts.clears(), clock.nowMillis());
            other.suspectFacts = other.suspectFacts.merge(
                    node.suspectFacts.crashes(), node.suspectFacts.clears(), clock.nowMillis());
        }
    }

    /**
     * Returns the virtual clock.
     *
     * @return the clock
     */
    public VirtualClock clock() {
        return clock;
    }

    /**
     * Returns the seeded random source of the simulation.
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
     * Returns the callers of all requests submitted so far.
     *
     * @return the callers, in order of submission
     */
    public List<SimCaller> callers() {
        return Collections.unmodifiableList(callers);
    }

    /**
     * Sets the admission shares that every node applies.
     *
     * @param changed function from a team to its share
     */
    public void setShares(Function<TeamId, TeamShare> changed) {
        shares = changed;
    }

    /**
     * Sends a request to a node now.
     *
     * @param node index of the node
     * @param request the request
     * @return the caller, which records the answer
     */
    public SimCaller submit(int node, SimRequest request) {
        SimCaller caller = new SimCaller(request, clock.nowMillis());
        callers.add(caller);
        nodes.get(node).submit(caller);
        return caller;
    }

    /**
     * Sets the model version that new requests ask for.
     *
     * @param model the model, weight version and adapter
     */
    public void setActiveModel(ModelRef model) {
        activeModel = model;
    }

    /**
     * Returns the model version that new requests ask for.
     *
     * @return the model, weight version and adapter
     */
    public ModelRef activeModel() {
        return activeModel;
    }

    /**
     * Returns how many unfinished runs were interrupted when their engine was retired.
     *
     * @return the number of runs
     */
    public int interruptedRuns() {
        return interrupted;
    }

    /**
     * Returns how often a request crashed its engine.
     *
     * @return the number of crashes
     */
    public int crashesByRequest() {
        return crashedByRequest;
    }

    /**
     * Returns the highest number of concurrent weight loads in one data centre so far.
     *
     * @return the number of loads
     */
    public int maxConcurrentLoads() {
        return maxConcurrentLoads;
    }

    /**
     * Returns the number of orphan runs, whose caller has left or has its answer.
     *
     * @return the number of unfinished runs without a waiting caller
     */
    public long orphanRuns() {
        return engines.stream()
                .flatMap(engine -> engine.runs.values().stream())
                .filter(run -> !run.finished && (run.caller.disconnected || run.caller.endedMillis >= 0))
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

    /** Clears all copy guards, as a membership change does; the nodes then report their attempts in flight. */
    public void resetGuards() {
        nodes.forEach(SimNode::resetGuard);
        clock.after(GUARD_REPORT_MILLIS, () -> nodes.forEach(SimNode::reportAttemptsToGuards));
    }

    SimNode arbiterNode() {
        return nodes.get(0);
    }

    boolean noEngineWith(ModelRef model) {
        return engines.stream().noneMatch(engine -> engine.loaded.equals(model) && !engine.loading);
    }

    boolean occurs(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Marks an engine as leaving or back in service; nodes learn of a departure within a few probe intervals. */
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

    boolean isLeaving(UpstreamId upstream) {
        return leaving.contains(upstream);
    }

    void loadStarted(DataCentreId dataCentre) {
        maxConcurrentLoads = Math.max(maxConcurrentLoads, loadsInProgress.merge(dataCentre, 1, Integer::sum));
    }

    void loadEnded(DataCentreId dataCentre) {
        loadsInProgress.merge(dataCentre, -1, Integer::sum);
    }
}
