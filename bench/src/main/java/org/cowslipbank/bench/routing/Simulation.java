package org.cowslipbank.bench.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.config.UpstreamState;
import org.cowslipbank.decision.directory.Placement;
import org.cowslipbank.decision.retention.ExportInput;
import org.cowslipbank.decision.retention.ExportOutcome;
import org.cowslipbank.decision.retention.GapHistogram;
import org.cowslipbank.decision.retention.RetainedSession;
import org.cowslipbank.decision.retention.RetentionDecision;
import org.cowslipbank.decision.retention.RetentionPolicy;
import org.cowslipbank.decision.routing.Candidate;
import org.cowslipbank.decision.routing.FetchDecision;
import org.cowslipbank.decision.routing.FetchProgress;
import org.cowslipbank.decision.routing.FetchVerdict;
import org.cowslipbank.decision.routing.LinkEstimate;
import org.cowslipbank.decision.routing.LinkState;
import org.cowslipbank.decision.routing.PrefetchDecision;
import org.cowslipbank.decision.routing.PrefetchInput;
import org.cowslipbank.decision.routing.RoutingDecision;
import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;
import org.cowslipbank.decision.routing.StoreLink;
import org.cowslipbank.decision.routing.TransferPriority;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.model.UpstreamId;

/** Runs one policy over the requests of a workload. */
final class Simulation {
    private static final double REPORT_INTERVAL_MILLIS = 250;
    private static final double MAKE_ROOM_INTERVAL_MILLIS = 5_000;
    private static final double DECODE_MILLIS_PER_TOKEN = 20;
    private static final double MAX_EXPORT_DELAY_MILLIS = 20_000;
    private static final double MAX_PREFETCH_MILLIS = 5_000;
    private static final int ENGINE_SLOTS = 64;
    private static final double RESEND_MILLIS = 1_000;
    private static final double CERTAIN = 1e9;
    private static final double NEVER_SECONDS = 1e9;
    private static final long SWEEP_INTERVAL_MILLIS = 10_000;

    private final VirtualClock clock = new VirtualClock();
    private final Workload workload;
    private final Policy policy;
    private final List<Arrival> arrivals;
    private final long measureFromMillis;
    private final RetentionPolicy retention;
    private final TransferNetwork network;
    private final EngineModel[] engines;
    private final StoreModel[] stores;
    private final Node[] nodes;
    private final List<UpstreamId> engineIds;
    private final Map<UpstreamId, Integer> engineIndexes = new HashMap<>();
    private final List<StoreId> storeIds;
    private final Map<Integer, Session> sessions = new HashMap<>();
    private final Outcome outcome = new Outcome();
    private final Set<Run> active = new LinkedHashSet<>();
    private final List<Sample> samples = new ArrayList<>();
    private final double[] engineUpMillis;
    private boolean hintsReplicated;
    private long hintUpdates;
    private long[] visibleTokens;
    private long[] capturedTokens;
    private double capturedMillis;
    private double visibleMillis;

    Simulation(Workload workload, Policy policy, List<Arrival> arrivals, long measureFromMillis) {
        this.workload = workload;
        this.policy = policy;
        this.arrivals = arrivals;
        this.measureFromMillis = measureFromMillis;
        this.retention = new RetentionPolicy(3_600_000, 120_000, 0.95, 0.85, workload.weights());
        this.network = new TransferNetwork(clock, workload);
        this.engines = new EngineModel[workload.engines()];
        this.visibleTokens = new long[engines.length];
        this.engineUpMillis = new double[engines.length];
        this.capturedTokens = new long[engines.length];
        for (int engine = 0; engine < engines.length; engine++) {
            engines[engine] = new EngineModel(clock, workload, this::firstToken);
        }
        this.stores = new StoreModel[workload.stores()];
        for (int store = 0; store < stores.length; store++) {
            stores[store] = new StoreModel(workload, retention);
        }
        this.nodes = new Node[workload.nodes()];
        for (int node = 0; node < nodes.length; node++) {
            nodes[node] = new Node(workload);
        }
        this.engineIds = IntStream.range(0, engines.length)
                .mapToObj(i -> new UpstreamId("engine" + i))
                .toList();
        engineIds.forEach(id -> engineIndexes.put(id, engineIndexes.size()));
        this.storeIds = IntStream.range(0, stores.length)
                .mapToObj(i -> new StoreId("store" + i))
                .toList();
    }

    Outcome run(long durationMillis, List<Fault> faults) {
        faults.forEach(fault -> clock.at(fault.atMillis(), () -> fault.effect().accept(this)));
        long[] bytesBefore = new long[1];
        clock.at(measureFromMillis, () -> bytesBefore[0] = network.bytesMoved());
        clock.after(0, this::report);
        clock.after(0, this::makeRoom);
        clock.after(SWEEP_INTERVAL_MILLIS, this::countAway);
        scheduleNext(0);
        clock.runUntil(durationMillis);
        outcome.setLinkBytes(network.bytesMoved() - bytesBefore[0]);
        return outcome;
    }

    void killStore(int store) {
        network.kill(store);
    }

    void replaceStore(int store) {
        network.revive(store);
        stores[store].clear();
    }

    /** Ends a node's process; another with empty memory takes its place after a while. */
    void restartNode(int node, double downMillis) {
        nodes[node] = new Node(workload);
        nodes[node].upMillis = clock.nowMillis() + downMillis;
        network.reset(node);
        resendWhere(run -> run.node == node);
    }

    /** Ends an engine's process; another with empty memory takes its place after a while. */
    void restartEngine(int engine, double downMillis) {
        engines[engine].reset();
        engineUpMillis[engine] = clock.nowMillis() + downMillis;
        resendWhere(run -> run.engine == engine && run.arrived);
    }

    /** Keeps a copy of all hints at a second node, so that none is lost with one node. */
    void replicateHints() {
        hintsReplicated = true;
    }

    long hintUpdates() {
        return hintUpdates;
    }

    /** Sessions with retained blocks and the number of those blocks. */
    long[] retained() {
        long[] counts = new long[2];
        for (Session session : sessions.values()) {
            counts[0] += session.storedBlocks > 0 ? 1 : 0;
            counts[1] += session.storedBlocks;
        }
        return counts;
    }

    List<Sample> samples() {
        return samples;
    }

    private void resendWhere(Predicate<Run> lost) {
        for (Run run : List.copyOf(active)) {
            if (!lost.test(run)) {
                continue;
            }
            stopFetch(run);
            run.cancelled = true;
            active.remove(run);
            if (run.arrived) {
                clock.after(RESEND_MILLIS, () -> lookup(run.arrival));
            } else {
                lookup(run.arrival);
            }
        }
    }

    void slowLink(int store, double factor) {
        network.slow(store, factor);
    }

    private void scheduleNext(int index) {
        if (index == arrivals.size()) {
            return;
        }
        clock.at(arrivals.get(index).lookupMillis(), () -> {
            lookup(arrivals.get(index));
            scheduleNext(index + 1);
        });
    }

    private void report() {
        visibleTokens = capturedTokens;
        visibleMillis = capturedMillis;
        capturedTokens = new long[engines.length];
        capturedMillis = clock.nowMillis();
        for (int engine = 0; engine < engines.length; engine++) {
            capturedTokens[engine] = engines[engine].waitingTokens();
        }
        clock.after(REPORT_INTERVAL_MILLIS, this::report);
    }

    private void makeRoom() {
        for (StoreModel store : stores) {
            store.makeRoom(this::describe);
        }
        clock.after(MAKE_ROOM_INTERVAL_MILLIS, this::makeRoom);
    }

    // The nodes' sweep over their hints that counts sessions which stay away.
    private void countAway() {
        for (Session session : sessions.values()) {
            if (session.awayCountedMillis < 0) {
                continue;
            }
            long away = (long) (clock.nowMillis() - session.lastRunEndMillis);
            GapHistogram[] history = nodes[session.node].history;
            history[session.team] = history[session.team].withAway(session.awayCountedMillis, away);
            session.awayCountedMillis = away;
        }
        clock.after(SWEEP_INTERVAL_MILLIS, this::countAway);
    }

    private RetainedSession describe(Session session) {
        double now = clock.nowMillis();
        GapHistogram history = nodes[session.node].history[session.team];
        long awayMillis = (long) (now - session.lastRunEndMillis);
        if (policy.oracle()) {
            // The oracle's value is the nearness of the known return, expressed as a history that is certain of it.
            history = nearness(session.nextReturnMillis - now);
            awayMillis = 0;
        }
        return new RetainedSession(
                session.id,
                session.tier,
                session.storedBlocks,
                workload.blockBytes(),
                awayMillis,
                history,
                workload.blockPrefillMillis());
    }

    // A history in which the part of sessions that returned within the first bucket grows with the nearness.
    private static GapHistogram nearness(double millis) {
        double seconds = Math.max(0, millis) / 1_000;
        List<Double> exposures = new ArrayList<>(GapHistogram.empty().exposures());
        List<Double> returns = new ArrayList<>(exposures);
        exposures.set(0, CERTAIN);
        returns.set(0, seconds > NEVER_SECONDS ? 0 : CERTAIN / (1 + seconds));
        return new GapHistogram(exposures, returns);
    }

    private void lookup(Arrival arrival) {
        Session session = sessions.computeIfAbsent(arrival.session(), id -> newSession(id, arrival.team()));
        int node = owner(session);
        if (node < 0) {
            clock.after(RESEND_MILLIS, () -> lookup(arrival));
            return;
        }
        session.node = node;
        Run run = new Run(arrival, session);
        run.node = node;
        active.add(run);
        boolean hinted = hintsReplicated || nodes[node].hints.contains(session.id);
        if (policy.prefetches() && session.storedBlocks > 0 && hinted) {
            prefetch(run);
        }
        // Without a hint the node asks the store that the placement names, which costs one round trip.
        double askMillis = policy.stores() && !hinted ? 2 * workload.oneWayMillis() : 0;
        clock.at(Math.max(arrival.arrivalMillis(), clock.nowMillis()) + askMillis, () -> arrive(run));
    }

    // The first live node in the session's rendezvous order, negative if none is live.
    private int owner(Session session) {
        long sessionHash = Hashing.komihash5_0().hashCharsToLong(session.key);
        int best = -1;
        long bestWeight = 0;
        for (int node = 0; node < nodes.length; node++) {
            long weight = Hashing.komihash5_0().hashLongLongToLong(sessionHash, node);
            boolean live = nodes[node].upMillis <= clock.nowMillis();
            if (live && (best < 0 || weight > bestWeight)) {
                best = node;
                bestWeight = weight;
            }
        }
        return best;
    }

    private Session newSession(int id, int team) {
        return new Session(id, team);
    }

    private void prefetch(Run run) {
        RoutingInput input = input(run);
        RoutingOutcome choice = PrefetchDecision.choose(new PrefetchInput(input, 1, MAX_PREFETCH_MILLIS));
        if (choice.fetch().isEmpty()) {
            return;
        }
        run.engine = engineIndexes.get(choice.upstream());
        startFetch(run, choice, TransferPriority.PREFETCH);
    }

    private void arrive(Run run) {
        if (run.cancelled) {
            return;
        }
        run.arrived = true;
        Node node = nodes[run.node];
        Session session = run.session;
        session.nextReturnMillis = run.arrival.returnMillis();
        if (session.lastRunEndMillis >= 0) {
            long gap = (long) (clock.nowMillis() - session.lastRunEndMillis);
            node.history[session.team] = node.history[session.team].withReturn(Math.max(0, gap));
            session.awayCountedMillis = -1;
        }
        RoutingInput input = input(run);
        RoutingOutcome choice = policy.rule().route(input, session.key);
        probeSlowLinks(run.node);
        int engine = engineIndexes.get(choice.upstream());
        boolean continued =
                run.transferId >= 0 && engine == run.engine && !choice.fetch().isEmpty();
        if (!continued) {
            stopFetch(run);
        }
        if (engine != run.engine) {
            run.engine = engine;
            run.base = 0;
            run.received = 0;
        }
        int split = continued
                ? Math.max(
                        run.base + run.planned,
                        choice.localBlocks() + choice.fetch().size())
                : choice.localBlocks() + choice.fetch().size();
        run.assignedTokens = Math.max(1, run.arrival.promptTokens() - (long) split * Workload.BLOCK_TOKENS);
        nodes[run.node].assigned.get(engine).add(run);
        if (continued) {
            continueFetch(run, choice);
        } else if (choice.fetch().isEmpty()) {
            engines[engine].submit(run);
        } else {
            startFetch(run, choice, TransferPriority.FOREGROUND);
        }
    }

    // The request has arrived while its blocks are being prefetched to the chosen engine.
    private void continueFetch(Run run, RoutingOutcome choice) {
        network.reprioritise(run.node, run.link, run.transferId, TransferPriority.FOREGROUND);
        run.fetchStartMillis = clock.nowMillis();
        run.queueAtStartMillis = choice.queueMillis();
        run.expectedBlockMillis = expectedBlockMillis(run);
        run.firstBlockMillis = -1;
        run.receivedBeforeArrival = run.received;
        int beyondPrefetch = choice.localBlocks() + choice.fetch().size() - run.base - run.planned;
        int size = choice.fetch().size();
        run.extra = choice.fetch().subList(size - Math.max(0, beyondPrefetch), size);
        if (policy.overtakes()) {
            checkFetch(run, run.fetchNumber);
        }
    }

    private void probeSlowLinks(int node) {
        if (!policy.stores() || policy.oracle()) {
            return;
        }
        for (int link = 0; link < stores.length; link++) {
            if (network.estimate(node, link).needsProbe(clock.nowWholeMillis())) {
                network.submit(node, link, TransferPriority.PREFETCH, 1, false, () -> {}, () -> {});
            }
        }
    }

    private void startFetch(Run run, RoutingOutcome choice, TransferPriority priority) {
        run.base = choice.localBlocks();
        run.received = 0;
        run.planned = choice.fetch().size();
        run.link = storeIds.indexOf(choice.fetch().get(0).store());
        run.fetchStartMillis = clock.nowMillis();
        run.queueAtStartMillis = choice.queueMillis();
        run.expectedBlockMillis = expectedBlockMillis(run);
        run.firstBlockMillis = -1;
        run.receivedBeforeArrival = 0;
        int fetchNumber = ++run.fetchNumber;
        boolean fromDisk = choice.fetch().get(0).tier() == StoreTier.DISK;
        run.transferId = network.submit(
                run.node,
                run.link,
                priority,
                run.planned,
                fromDisk,
                () -> blockArrived(run, fetchNumber),
                () -> fetchFailed(run, fetchNumber));
        if (policy.overtakes() && priority == TransferPriority.FOREGROUND) {
            checkFetch(run, fetchNumber);
        }
    }

    // A prefetch is bounded in time; what the request wants beyond it follows as a fetch of its own.
    private void fetchExtra(Run run) {
        List<BlockRef> extra = run.extra;
        run.extra = List.of();
        startFetch(
                run,
                new RoutingOutcome(
                        RoutingOutcome.Result.CHOSEN,
                        engineIds.get(run.engine),
                        run.blocksAtEngine(),
                        extra,
                        0,
                        extra.size() * expectedBlockMillis(run),
                        0,
                        0),
                TransferPriority.FOREGROUND);
    }

    private double expectedBlockMillis(Run run) {
        double rate = network.estimate(run.node, run.link).bytesPerSecond();
        return workload.blockBytes() * 1_000 / rate;
    }

    private void stopFetch(Run run) {
        if (run.transferId >= 0) {
            network.cancel(run.node, run.link, run.transferId);
            run.transferId = -1;
            run.fetchNumber++;
        }
    }

    private void blockArrived(Run run, int fetchNumber) {
        if (run.fetchNumber != fetchNumber) {
            return;
        }
        run.received++;
        run.firstBlockMillis = run.firstBlockMillis < 0 ? clock.nowMillis() : run.firstBlockMillis;
        if (run.received < run.planned) {
            return;
        }
        run.transferId = -1;
        if (run.arrived && !run.extra.isEmpty()) {
            fetchExtra(run);
            return;
        }
        if (run.arrived) {
            engines[run.engine].submit(run);
        }
    }

    private void fetchFailed(Run run, int fetchNumber) {
        if (run.fetchNumber != fetchNumber) {
            return;
        }
        run.transferId = -1;
        run.fetchNumber++;
        if (run.arrived) {
            recomputeRest(run);
        }
    }

    private void recomputeRest(Run run) {
        run.assignedTokens =
                Math.max(1, run.arrival.promptTokens() - (long) run.blocksAtEngine() * Workload.BLOCK_TOKENS);
        engines[run.engine].submit(run);
    }

    private void checkFetch(Run run, int fetchNumber) {
        if (run.fetchNumber != fetchNumber || run.transferId < 0) {
            return;
        }
        double now = clock.nowMillis();
        double silentSince = Math.max(run.fetchStartMillis, network.silentSinceMillis(run.node, run.link));
        double elapsedMillis = now - run.fetchStartMillis;
        FetchVerdict verdict = FetchDecision.check(new FetchProgress(
                run.planned - run.receivedBeforeArrival,
                run.received - run.receivedBeforeArrival,
                run.expectedBlockMillis,
                run.firstBlockMillis < 0 ? 0 : now - run.firstBlockMillis,
                now - silentSince,
                Math.max(0, run.queueAtStartMillis - elapsedMillis),
                workload.linkUseBlockMillis(),
                workload.blockPrefillMillis(),
                run.arrival.promptTokens() * 1_000 / workload.prefillTokensPerSecond(),
                workload.weights()));
        if (verdict.recomputeRest()) {
            stopFetch(run);
            recomputeRest(run);
            return;
        }
        clock.after(verdict.checkAfterMillis(), () -> checkFetch(run, fetchNumber));
    }

    private void firstToken(Run run, int localBlocks) {
        active.remove(run);
        Arrival arrival = run.arrival;
        if (run.isReturning()) {
            long cached = (long) localBlocks * Workload.BLOCK_TOKENS;
            double millis = clock.nowMillis() - arrival.arrivalMillis() + 2 * workload.oneWayMillis();
            samples.add(new Sample(arrival.arrivalMillis(), arrival.knownTokens(), cached, millis));
        }
        if (arrival.arrivalMillis() >= measureFromMillis) {
            long local = (long) localBlocks * Workload.BLOCK_TOKENS;
            outcome.addWork(arrival.promptTokens(), arrival.knownTokens(), Math.max(0, arrival.knownTokens() - local));
            if (run.isReturning()) {
                outcome.addReturning(clock.nowMillis() - arrival.arrivalMillis() + 2 * workload.oneWayMillis());
            }
        }
        clock.after(arrival.answerTokens() * DECODE_MILLIS_PER_TOKEN, () -> finish(run));
    }

    private void finish(Run run) {
        Session session = run.session;
        session.lastRunEndMillis = clock.nowMillis();
        session.awayCountedMillis = 0;
        engines[run.engine].keep(session.id, run.arrival.blocksAfterRun());
        nodes[run.node].hints.add(session.id);
        hintUpdates++;
        if (policy.stores()) {
            export(run);
        }
    }

    private void export(Run run) {
        Session session = run.session;
        int store = storeFor(session, run.node);
        if (store < 0 || session.exporting) {
            return;
        }
        if (store != session.store) {
            if (session.store >= 0) {
                stores[session.store].hold(session, 0, StoreTier.MEMORY);
            }
            session.store = store;
        }
        int held = session.storedBlocks;
        int blocks = run.arrival.blocksAfterRun() - held;
        if (blocks <= 0) {
            return;
        }
        ExportOutcome choice = chooseExport(session, run.node, store, blocks);
        if (choice.blocks() == 0) {
            return;
        }
        session.exporting = true;
        startExport(session, run.node, choice);
    }

    private int storeFor(Session session, int node) {
        List<StoreId> ranked = Placement.rank(session.chain.get(0).key(), storeIds);
        for (StoreId id : ranked) {
            int store = storeIds.indexOf(id);
            boolean down = policy.oracle()
                    ? network.isDead(store)
                    : network.estimate(node, store).state() == LinkState.DOWN;
            if (!down) {
                return store;
            }
        }
        return -1;
    }

    private ExportOutcome chooseExport(Session session, int node, int store, int blocks) {
        TeamProfile team = workload.teams().get(session.team);
        if (policy.oracle() && session.nextReturnMillis == Long.MAX_VALUE) {
            return new ExportOutcome(ExportOutcome.Reason.NOT_WORTH_LINK, 0, StoreTier.DISK, 0);
        }
        LinkEstimate estimate = network.estimate(node, store);
        double rate = policy.oracle() ? network.trueBytesPerSecond(store) : estimate.peakBytesPerSecond();
        GapHistogram history = policy.oracle() ? nearness(0) : nodes[node].history[session.team];
        return RetentionDecision.export(new ExportInput(
                history,
                team.hasSession(),
                blocks,
                workload.blockBytes(),
                workload.blockPrefillMillis(),
                workload.blockBytes() * 1_000 / rate,
                workload.linkUseBlockMillis(),
                0,
                MAX_EXPORT_DELAY_MILLIS,
                stores[store].space(StoreTier.MEMORY),
                stores[store].space(StoreTier.DISK),
                retention));
    }

    private void startExport(Session session, int node, ExportOutcome choice) {
        int[] done = new int[1];
        int held = session.storedBlocks;
        int store = session.store;
        network.submit(
                node,
                store,
                TransferPriority.EXPORT,
                choice.blocks(),
                false,
                () -> {
                    if (session.store != store) {
                        return;
                    }
                    done[0]++;
                    stores[store].hold(
                            session, held + done[0], session.storedBlocks > 0 ? session.tier : choice.tier());
                    session.exporting = done[0] < choice.blocks();
                },
                () -> session.exporting = false);
    }

    private RoutingInput input(Run run) {
        Session session = run.session;
        int known = run.arrival.knownTokens() / Workload.BLOCK_TOKENS;
        boolean fetches = policy.stores() && session.storedBlocks > 0;
        List<BlockRef> retained = fetches ? session.refs(storeIds, workload.blockBytes(), known) : List.of();
        List<Candidate> candidates = new ArrayList<>(engines.length);
        for (UpstreamId id : RoutingDecision.subset(session.key, engineIds, policy.subsetSize())) {
            candidates.add(candidate(run, engineIndexes.get(id), known));
        }
        return new RoutingInput(
                session.teamId,
                Session.MODEL,
                session.chain.subList(0, run.arrival.fullBlocks()),
                run.arrival.promptTokens(),
                Workload.BLOCK_TOKENS,
                retained,
                candidates,
                links(run.node),
                workload.weights());
    }

    private Candidate candidate(Run run, int engine, int known) {
        long waiting = policy.oracle() ? engines[engine].waitingTokens() : visibleTokens[engine];
        long sent = policy.oracle() ? fetchingTokens(engine) : sentTokens(run.node, engine);
        int staged = run.engine == engine ? run.blocksAtEngine() : 0;
        int local = Math.min(known, Math.max(staged, engines[engine].cached(run.session.id)));
        return new Candidate(
                engineIds.get(engine),
                engineUpMillis[engine] > clock.nowMillis() ? UpstreamState.LEAVING : UpstreamState.ACTIVE,
                Session.MODEL,
                false,
                engines[engine].waitingRuns(),
                0,
                ENGINE_SLOTS,
                waiting,
                sent,
                workload.prefillTokensPerSecond(),
                workload.oneWayMillis(),
                local);
    }

    // Runs that the visible report cannot contain: still fetching, or handed over after it was taken.
    private long sentTokens(int node, int engine) {
        List<Run> assigned = nodes[node].assigned.get(engine);
        assigned.removeIf(run -> run.readyMillis >= 0 && run.readyMillis <= visibleMillis);
        return assigned.stream().mapToLong(run -> run.assignedTokens).sum();
    }

    private long fetchingTokens(int engine) {
        long tokens = 0;
        for (Node node : nodes) {
            node.assigned.get(engine).removeIf(run -> run.readyMillis >= 0);
            for (Run run : node.assigned.get(engine)) {
                tokens += run.assignedTokens;
            }
        }
        return tokens;
    }

    private List<StoreLink> links(int node) {
        List<StoreLink> links = new ArrayList<>(stores.length);
        for (int store = 0; store < stores.length; store++) {
            links.add(policy.oracle() ? exactLink(store) : estimatedLink(node, store));
        }
        return links;
    }

    private StoreLink exactLink(int store) {
        return new StoreLink(
                storeIds.get(store),
                network.isDead(store) ? LinkState.DOWN : LinkState.UP,
                workload.linkBytesPerSecond(),
                network.trueBytesPerSecond(store),
                workload.diskBytesPerSecond(),
                network.queuedBytesOfAll(store),
                2 * workload.oneWayMillis());
    }

    private StoreLink estimatedLink(int node, int store) {
        LinkEstimate estimate = network.estimate(node, store);
        return new StoreLink(
                storeIds.get(store),
                estimate.state(),
                workload.linkBytesPerSecond(),
                estimate.bytesPerSecond(),
                workload.diskBytesPerSecond(),
                network.queuedBytes(node, store),
                2 * workload.oneWayMillis());
    }

    private static final class Node {
        private final GapHistogram[] history;
        private final List<List<Run>> assigned = new ArrayList<>();
        private final Set<Integer> hints = new HashSet<>();
        private double upMillis;

        Node(Workload workload) {
            history = new GapHistogram[workload.teams().size()];
            Arrays.fill(history, GapHistogram.empty());
            for (int engine = 0; engine < workload.engines(); engine++) {
                assigned.add(new ArrayList<>());
            }
        }
    }
}
