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
import org.cowslipbank.decision.directory.StorePlacement;
import org.cowslipbank.decision.retention.ExportInput;
import org.cowslipbank.decision.retention.ExportOutcome;
import org.cowslipbank.decision.retention.GapHistogram;
import org.cowslipbank.decision.retention.RetainedSession;
import org.cowslipbank.decision.retention.RetentionDecision;
import org.cowslipbank.decision.retention.RetentionPolicy;
import org.cowslipbank.decision.routing.FetchDecision;
import org.cowslipbank.decision.routing.FetchProgress;
import org.cowslipbank.decision.routing.FetchVerdict;
import org.cowslipbank.decision.routing.LinkEstimate;
import org.cowslipbank.decision.routing.LinkState;
import org.cowslipbank.decision.routing.PrefetchDecision;
import org.cowslipbank.decision.routing.PrefetchInput;
import org.cowslipbank.decision.routing.RoutingCandidate;
import org.cowslipbank.decision.routing.RoutingDecision;
import org.cowslipbank.decision.routing.RoutingInput;
import org.cowslipbank.decision.routing.RoutingOutcome;
import org.cowslipbank.decision.routing.StoreLink;
import org.cowslipbank.decision.routing.TransferPriority;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.model.UpstreamId;

/** Simulates one policy over the requests of a workload. */
final class Simulation {
    private static final double REPORT_INTERVAL_MILLIS = 250;
    private static final double EVICTION_INTERVAL_MILLIS = 5_000;
    private static final double DECODE_MILLIS_PER_TOKEN = 20;
    private static final double MAX_EXPORT_DELAY_MILLIS = 20_000;
    private static final double MAX_PREFETCH_MILLIS = 5_000;
    private static final int ENGINE_SLOTS = 64;
    private static final double RESEND_DELAY_MILLIS = 1_000;
    private static final long RETENTION_HORIZON_MILLIS = 3_600_000;
    private static final long MEMORY_HORIZON_MILLIS = 120_000;
    private static final double EXPORT_LIMIT_SHARE = 0.95;
    private static final double EVICT_TARGET_SHARE = 0.85;
    /** Exposure beside which the prior of {@link GapHistogram} is negligible. */
    private static final double DOMINANT_EXPOSURE = 1e9;
    /** Longer than any simulated time; {@link Arrival#returnMillis} is far beyond it if a session does not return. */
    private static final double NO_RETURN_SECONDS = 1e9;

    private static final long ABSENCE_SWEEP_INTERVAL_MILLIS = 10_000;

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
    private final PolicyMeasurements measurements = new PolicyMeasurements();
    private final Set<PromptRun> activeRuns = new LinkedHashSet<>();
    private final List<ReturningPrompt> returningPrompts = new ArrayList<>();
    private final double[] engineUpAtMillis;
    private boolean hintsReplicated;
    private long hintUpdates;
    private long[] reportedTokens;
    private long[] nextReportTokens;
    private double nextReportAtMillis;
    private double reportedAtMillis;

    Simulation(Workload workload, Policy policy, List<Arrival> arrivals, long measureFromMillis) {
        this.workload = workload;
        this.policy = policy;
        this.arrivals = arrivals;
        this.measureFromMillis = measureFromMillis;
        this.retention = new RetentionPolicy(
                RETENTION_HORIZON_MILLIS,
                MEMORY_HORIZON_MILLIS,
                EXPORT_LIMIT_SHARE,
                EVICT_TARGET_SHARE,
                workload.weights());
        this.network = new TransferNetwork(clock, workload);
        this.engines = new EngineModel[workload.engines()];
        this.reportedTokens = new long[engines.length];
        this.engineUpAtMillis = new double[engines.length];
        this.nextReportTokens = new long[engines.length];
        for (int engine = 0; engine < engines.length; engine++) {
            engines[engine] = new EngineModel(clock, workload, this::onFirstToken);
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

    PolicyMeasurements run(long durationMillis, List<Fault> faults) {
        faults.forEach(fault -> clock.at(fault.atMillis(), () -> fault.effect().accept(this)));
        long[] bytesBefore = new long[1];
        clock.at(measureFromMillis, () -> bytesBefore[0] = network.bytesMoved());
        clock.after(0, this::publishLoadReports);
        clock.after(0, this::evictFromStores);
        clock.after(ABSENCE_SWEEP_INTERVAL_MILLIS, this::countAbsences);
        scheduleNext(0);
        clock.runUntil(durationMillis);
        measurements.setLinkBytes(network.bytesMoved() - bytesBefore[0]);
        return measurements;
    }

    void killStore(int store) {
        network.kill(store);
    }

    void replaceStore(int store) {
        network.revive(store);
        stores[store].clear();
    }

    /** Kills a node; its replacement starts with empty memory after {@code downMillis}. */
    void restartNode(int node, double downMillis) {
        nodes[node] = new Node(workload);
        nodes[node].upAtMillis = clock.nowMillis() + downMillis;
        network.reset(node);
        resendRuns(run -> run.node == node);
    }

    /** Kills an engine; its replacement starts with empty memory after {@code downMillis}. */
    void restartEngine(int engine, double downMillis) {
        engines[engine].reset();
        engineUpAtMillis[engine] = clock.nowMillis() + downMillis;
        resendRuns(run -> run.engine == engine && run.arrived);
    }

    /** Keeps a copy of each hint at a second node, so that the loss of one node loses no hint. */
    void replicateHints() {
        hintsReplicated = true;
    }

    long hintUpdates() {
        return hintUpdates;
    }

    /** Returns the number of sessions with retained blocks, and the number of these blocks. */
    long[] retainedCounts() {
        long[] counts = new long[2];
        for (Session session : sessions.values()) {
            counts[0] += session.storedBlocks > 0 ? 1 : 0;
            counts[1] += session.storedBlocks;
        }
        return counts;
    }

    List<ReturningPrompt> returningPrompts() {
        return returningPrompts;
    }

    private void resendRuns(Predicate<PromptRun> affected) {
        for (PromptRun run : List.copyOf(activeRuns)) {
            if (!affected.test(run)) {
                continue;
            }
            cancelFetch(run);
            run.cancelled = true;
            activeRuns.remove(run);
            if (run.arrived) {
                clock.after(RESEND_DELAY_MILLIS, () -> lookup(run.arrival));
            } else {
                lookup(run.arrival);
            }
        }
    }

    void slowLink(int store, double factor) {
        network.setRateFactor(store, factor);
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

    private void publishLoadReports() {
        reportedTokens = nextReportTokens;
        reportedAtMillis = nextReportAtMillis;
        nextReportTokens = new long[engines.length];
        nextReportAtMillis = clock.nowMillis();
        for (int engine = 0; engine < engines.length; engine++) {
            nextReportTokens[engine] = engines[engine].waitingTokens();
        }
        clock.after(REPORT_INTERVAL_MILLIS, this::publishLoadReports);
    }

    private void evictFromStores() {
        for (StoreModel store : stores) {
            store.evict(this::retainedSession);
        }
        clock.after(EVICTION_INTERVAL_MILLIS, this::evictFromStores);
    }

    // Runs periodically: adds the sessions that have not returned yet to the histograms of their nodes.
    private void countAbsences() {
        for (Session session : sessions.values()) {
            if (session.countedAbsenceMillis < 0) {
                continue;
            }
            long absenceMillis = (long) (clock.nowMillis() - session.lastRunEndMillis);
            GapHistogram[] returnHistory = nodes[session.node].returnHistory;
            returnHistory[session.team] =
                    returnHistory[session.team].withAway(session.countedAbsenceMillis, absenceMillis);
            session.countedAbsenceMillis = absenceMillis;
        }
        clock.after(ABSENCE_SWEEP_INTERVAL_MILLIS, this::countAbsences);
    }

    private RetainedSession retainedSession(Session session) {
        double now = clock.nowMillis();
        GapHistogram history = nodes[session.node].returnHistory[session.team];
        long awayMillis = (long) (now - session.lastRunEndMillis);
        if (policy.oracle()) {
            // The oracle knows the next return and encodes it as a histogram: an earlier return has a higher
            // probability.
            history = historyForReturnIn(session.nextReturnMillis - now);
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

    // Encodes the known return as a histogram: the longer the time until then, the smaller the first bucket's share.
    private static GapHistogram historyForReturnIn(double millis) {
        double seconds = Math.max(0, millis) / 1_000;
        List<Double> exposures = new ArrayList<>(GapHistogram.empty().exposures());
        List<Double> returns = new ArrayList<>(exposures);
        exposures.set(0, DOMINANT_EXPOSURE);
        returns.set(0, seconds > NO_RETURN_SECONDS ? 0 : DOMINANT_EXPOSURE / (1 + seconds));
        return new GapHistogram(exposures, returns);
    }

    private void lookup(Arrival arrival) {
        Session session = sessions.computeIfAbsent(arrival.session(), id -> newSession(id, arrival.team()));
        int node = owner(session);
        if (node < 0) {
            clock.after(RESEND_DELAY_MILLIS, () -> lookup(arrival));
            return;
        }
        session.node = node;
        PromptRun run = new PromptRun(arrival, session);
        run.node = node;
        activeRuns.add(run);
        boolean hinted = hintsReplicated || nodes[node].hints.contains(session.id);
        if (policy.prefetches() && session.storedBlocks > 0 && hinted) {
            prefetch(run);
        }
        // Without a hint the node asks the store that the placement ranks first, which takes one round trip.
        double storeLookupMillis = policy.usesStores() && !hinted ? 2 * workload.oneWayMillis() : 0;
        clock.at(Math.max(arrival.arrivalMillis(), clock.nowMillis()) + storeLookupMillis, () -> arrive(run));
    }

    // Returns the first live node in the session's rendezvous order, or -1 if none is live.
    private int owner(Session session) {
        long sessionHash = Hashing.komihash5_0().hashCharsToLong(session.key);
        int best = -1;
        long bestWeight = 0;
        for (int node = 0; node < nodes.length; node++) {
            long weight = Hashing.komihash5_0().hashLongLongToLong(sessionHash, node);
            boolean live = nodes[node].upAtMillis <= clock.nowMillis();
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

    private void prefetch(PromptRun run) {
        RoutingInput input = routingInput(run);
        RoutingOutcome choice = PrefetchDecision.choose(new PrefetchInput(input, 1, MAX_PREFETCH_MILLIS));
        if (choice.fetch().isEmpty()) {
            return;
        }
        run.engine = engineIndexes.get(choice.upstream());
        startFetch(run, choice, TransferPriority.PREFETCH);
    }

    private void arrive(PromptRun run) {
        if (run.cancelled) {
            return;
        }
        run.arrived = true;
        Node node = nodes[run.node];
        Session session = run.session;
        session.nextReturnMillis = run.arrival.returnMillis();
        if (session.lastRunEndMillis >= 0) {
            long reuseIntervalMillis = (long) (clock.nowMillis() - session.lastRunEndMillis);
            node.returnHistory[session.team] =
                    node.returnHistory[session.team].withReturn(Math.max(0, reuseIntervalMillis));
            session.countedAbsenceMillis = -1;
        }
        RoutingInput input = routingInput(run);
        RoutingOutcome choice = policy.rule().route(input, session.key);
        probeSlowLinks(run.node);
        int engine = engineIndexes.get(choice.upstream());
        boolean continuesPrefetch =
                run.transferId >= 0 && engine == run.engine && !choice.fetch().isEmpty();
        if (!continuesPrefetch) {
            cancelFetch(run);
        }
        if (engine != run.engine) {
            run.engine = engine;
            run.blocksBeforeFetch = 0;
            run.fetchedBlocks = 0;
        }
        int reusedBlocks = continuesPrefetch
                ? Math.max(
                        run.blocksBeforeFetch + run.plannedBlocks,
                        choice.localBlocks() + choice.fetch().size())
                : choice.localBlocks() + choice.fetch().size();
        run.tokensToCompute = Math.max(1, run.arrival.promptTokens() - (long) reusedBlocks * Workload.BLOCK_TOKENS);
        nodes[run.node].assignedRuns.get(engine).add(run);
        if (continuesPrefetch) {
            continuePrefetch(run, choice);
        } else if (choice.fetch().isEmpty()) {
            engines[engine].submit(run);
        } else {
            startFetch(run, choice, TransferPriority.FOREGROUND);
        }
    }

    // Raises the prefetch to foreground priority: the request has arrived and was routed to the same engine.
    private void continuePrefetch(PromptRun run, RoutingOutcome choice) {
        network.reprioritise(run.node, run.link, run.transferId, TransferPriority.FOREGROUND);
        run.fetchStartMillis = clock.nowMillis();
        run.queueAtStartMillis = choice.queueMillis();
        run.expectedBlockMillis = expectedBlockMillis(run);
        run.firstBlockMillis = -1;
        run.fetchedBeforeArrival = run.fetchedBlocks;
        int beyondPrefetch = choice.localBlocks() + choice.fetch().size() - run.blocksBeforeFetch - run.plannedBlocks;
        int size = choice.fetch().size();
        run.blocksAfterPrefetch = choice.fetch().subList(size - Math.max(0, beyondPrefetch), size);
        if (policy.recomputesLateFetches()) {
            checkFetch(run, run.fetchNumber);
        }
    }

    private void probeSlowLinks(int node) {
        if (!policy.usesStores() || policy.oracle()) {
            return;
        }
        for (int link = 0; link < stores.length; link++) {
            if (network.estimate(node, link).needsProbe(clock.nowWholeMillis())) {
                network.submit(node, link, TransferPriority.PREFETCH, 1, false, () -> {}, () -> {});
            }
        }
    }

    private void startFetch(PromptRun run, RoutingOutcome choice, TransferPriority priority) {
        run.blocksBeforeFetch = choice.localBlocks();
        run.fetchedBlocks = 0;
        run.plannedBlocks = choice.fetch().size();
        run.link = storeIds.indexOf(choice.fetch().get(0).store());
        run.fetchStartMillis = clock.nowMillis();
        run.queueAtStartMillis = choice.queueMillis();
        run.expectedBlockMillis = expectedBlockMillis(run);
        run.firstBlockMillis = -1;
        run.fetchedBeforeArrival = 0;
        int fetchNumber = ++run.fetchNumber;
        boolean fromDisk = choice.fetch().get(0).tier() == StoreTier.DISK;
        run.transferId = network.submit(
                run.node,
                run.link,
                priority,
                run.plannedBlocks,
                fromDisk,
                () -> onBlockArrived(run, fetchNumber),
                () -> onFetchFailed(run, fetchNumber));
        if (policy.recomputesLateFetches() && priority == TransferPriority.FOREGROUND) {
            checkFetch(run, fetchNumber);
        }
    }

    // A prefetch is limited in time; the remaining blocks of the request follow in a second fetch.
    private void fetchBlocksAfterPrefetch(PromptRun run) {
        List<BlockRef> extra = run.blocksAfterPrefetch;
        run.blocksAfterPrefetch = List.of();
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

    private double expectedBlockMillis(PromptRun run) {
        double rate = network.estimate(run.node, run.link).bytesPerSecond();
        return workload.blockBytes() * 1_000 / rate;
    }

    private void cancelFetch(PromptRun run) {
        if (run.transferId >= 0) {
            network.cancel(run.node, run.link, run.transferId);
            run.transferId = -1;
            run.fetchNumber++;
        }
    }

    private void onBlockArrived(PromptRun run, int fetchNumber) {
        if (run.fetchNumber != fetchNumber) {
            return;
        }
        run.fetchedBlocks++;
        run.firstBlockMillis = run.firstBlockMillis < 0 ? clock.nowMillis() : run.firstBlockMillis;
        if (run.fetchedBlocks < run.plannedBlocks) {
            return;
        }
        run.transferId = -1;
        if (run.arrived && !run.blocksAfterPrefetch.isEmpty()) {
            fetchBlocksAfterPrefetch(run);
            return;
        }
        if (run.arrived) {
            engines[run.engine].submit(run);
        }
    }

    private void onFetchFailed(PromptRun run, int fetchNumber) {
        if (run.fetchNumber != fetchNumber) {
            return;
        }
        run.transferId = -1;
        run.fetchNumber++;
        if (run.arrived) {
            recomputeRest(run);
        }
    }

    private void recomputeRest(PromptRun run) {
        run.tokensToCompute =
                Math.max(1, run.arrival.promptTokens() - (long) run.blocksAtEngine() * Workload.BLOCK_TOKENS);
        engines[run.engine].submit(run);
    }

    private void checkFetch(PromptRun run, int fetchNumber) {
        if (run.fetchNumber != fetchNumber || run.transferId < 0) {
            return;
        }
        double now = clock.nowMillis();
        double silentSince = Math.max(run.fetchStartMillis, network.lastArrivalMillis(run.node, run.link));
        double elapsedMillis = now - run.fetchStartMillis;
        FetchVerdict verdict = FetchDecision.check(new FetchProgress(
                run.plannedBlocks - run.fetchedBeforeArrival,
                run.fetchedBlocks - run.fetchedBeforeArrival,
                run.expectedBlockMillis,
                run.firstBlockMillis < 0 ? 0 : now - run.firstBlockMillis,
                now - silentSince,
                Math.max(0, run.queueAtStartMillis - elapsedMillis),
                workload.blockTransferMillis(),
                workload.blockPrefillMillis(),
                run.arrival.promptTokens() * 1_000 / workload.prefillTokensPerSecond(),
                workload.weights()));
        if (verdict.recomputeRest()) {
            cancelFetch(run);
            recomputeRest(run);
            return;
        }
        clock.after(verdict.checkAfterMillis(), () -> checkFetch(run, fetchNumber));
    }

    private void onFirstToken(PromptRun run, int localBlocks) {
        activeRuns.remove(run);
        Arrival arrival = run.arrival;
        if (run.isReturning()) {
            long cached = (long) localBlocks * Workload.BLOCK_TOKENS;
            double millis = clock.nowMillis() - arrival.arrivalMillis() + 2 * workload.oneWayMillis();
            returningPrompts.add(
                    new ReturningPrompt(arrival.arrivalMillis(), arrival.reusableTokens(), cached, millis));
        }
        if (arrival.arrivalMillis() >= measureFromMillis) {
            long local = (long) localBlocks * Workload.BLOCK_TOKENS;
            measurements.addPromptTokens(
                    arrival.promptTokens(), arrival.reusableTokens(), Math.max(0, arrival.reusableTokens() - local));
            if (run.isReturning()) {
                measurements.addReturningPrompt(
                        clock.nowMillis() - arrival.arrivalMillis() + 2 * workload.oneWayMillis());
            }
        }
        clock.after(arrival.answerTokens() * DECODE_MILLIS_PER_TOKEN, () -> onRunEnd(run));
    }

    private void onRunEnd(PromptRun run) {
        Session session = run.session;
        session.lastRunEndMillis = clock.nowMillis();
        session.countedAbsenceMillis = 0;
        engines[run.engine].cacheBlocks(session.id, run.arrival.blocksWithAnswer());
        nodes[run.node].hints.add(session.id);
        hintUpdates++;
        if (policy.usesStores()) {
            export(run);
        }
    }

    private void export(PromptRun run) {
        Session session = run.session;
        int store = storeForExport(session, run.node);
        if (store < 0 || session.exporting) {
            return;
        }
        if (store != session.store) {
            if (session.store >= 0) {
                stores[session.store].setStoredBlocks(session, 0, StoreTier.MEMORY);
            }
            session.store = store;
        }
        int held = session.storedBlocks;
        int blocks = run.arrival.blocksWithAnswer() - held;
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

    private int storeForExport(Session session, int node) {
        List<StoreId> ranked = StorePlacement.rank(session.chain.get(0).key(), storeIds);
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
        double rate = policy.oracle() ? network.actualBytesPerSecond(store) : estimate.peakBytesPerSecond();
        GapHistogram history = policy.oracle() ? historyForReturnIn(0) : nodes[node].returnHistory[session.team];
        return RetentionDecision.export(new ExportInput(
                history,
                team.hasSession(),
                blocks,
                workload.blockBytes(),
                workload.blockPrefillMillis(),
                workload.blockBytes() * 1_000 / rate,
                workload.blockTransferMillis(),
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
                    stores[store].setStoredBlocks(
                            session, held + done[0], session.storedBlocks > 0 ? session.tier : choice.tier());
                    session.exporting = done[0] < choice.blocks();
                },
                () -> session.exporting = false);
    }

    private RoutingInput routingInput(PromptRun run) {
        Session session = run.session;
        int reusableBlocks = run.arrival.reusableTokens() / Workload.BLOCK_TOKENS;
        boolean fetches = policy.usesStores() && session.storedBlocks > 0;
        List<BlockRef> retained =
                fetches ? session.blockRefs(storeIds, workload.blockBytes(), reusableBlocks) : List.of();
        List<RoutingCandidate> candidates = new ArrayList<>(engines.length);
        for (UpstreamId id : RoutingDecision.subset(session.key, engineIds, policy.subsetSize())) {
            candidates.add(candidate(run, engineIndexes.get(id), reusableBlocks));
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

    private RoutingCandidate candidate(PromptRun run, int engine, int reusableBlocks) {
        long waiting = policy.oracle() ? engines[engine].waitingTokens() : reportedTokens[engine];
        long sent = policy.oracle() ? fetchingTokens(engine) : unreportedTokens(run.node, engine);
        int staged = run.engine == engine ? run.blocksAtEngine() : 0;
        int local = Math.min(reusableBlocks, Math.max(staged, engines[engine].cachedBlocksOf(run.session.id)));
        return new RoutingCandidate(
                engineIds.get(engine),
                // A crashed engine is passed as LEAVING, because routing chooses only ACTIVE engines.
                engineUpAtMillis[engine] > clock.nowMillis() ? UpstreamState.LEAVING : UpstreamState.ACTIVE,
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

    // Tokens of runs that the last report cannot include: still fetching, or submitted to the engine after the report.
    private long unreportedTokens(int node, int engine) {
        List<PromptRun> assignedRuns = nodes[node].assignedRuns.get(engine);
        assignedRuns.removeIf(run -> run.readyMillis >= 0 && run.readyMillis <= reportedAtMillis);
        return assignedRuns.stream().mapToLong(run -> run.tokensToCompute).sum();
    }

    private long fetchingTokens(int engine) {
        long tokens = 0;
        for (Node node : nodes) {
            node.assignedRuns.get(engine).removeIf(run -> run.readyMillis >= 0);
            for (PromptRun run : node.assignedRuns.get(engine)) {
                tokens += run.tokensToCompute;
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
                network.actualBytesPerSecond(store),
                workload.diskBytesPerSecond(),
                network.queuedBytesOfAllNodes(store),
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
        private final GapHistogram[] returnHistory;
        private final List<List<PromptRun>> assignedRuns = new ArrayList<>();
        private final Set<Integer> hints = new HashSet<>();
        private double upAtMillis;

        Node(Workload workload) {
            returnHistory = new GapHistogram[workload.teams().size()];
            Arrays.fill(returnHistory, GapHistogram.empty());
            for (int engine = 0; engine < workload.engines(); engine++) {
                assignedRuns.add(new ArrayList<>());
            }
        }
    }
}
