package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Rolls out a weight version to the engines in batches. The next engines are first announced to all nodes, which stop
 * sending to them; an engine gets its order once its runs have ended or the drain time has passed.
 *
 * <p>The critical load is a rollout at full load. Waiting for the longest run of each engine would exceed the version's
 * bound. Without the announcement an engine with an order would reject the requests that have not started, and the
 * nodes would have to send them again.
 */
public final class VersionRollout {
    /** Share of the engines that switch at once; weight loads slow down beyond about two in seven engines. */
    static final double SWITCHING_SHARE = 0.34;

    /** Minimum number of engines that switch at once. */
    static final int MIN_SWITCHING = 2;

    /** Time that one engine is out of use while it drains, reports its state and loads weights. */
    static final long SWITCH_DURATION_MILLIS = 1_450;

    /** Time after the bound until which the last engine may finish; engines with old weights are excluded by then. */
    static final long OVERDUE_TOLERANCE_MILLIS = 500;

    /** Time that runs get to end before their engine gets its order; most last 0.5 to 2 s and started earlier. */
    static final long DRAIN_MILLIS = 900;

    /** Interval between reads of an engine's state; each report has a price and is some 200 ms old. */
    static final long STATE_POLL_MILLIS = 200;

    /**
     * Time without effect after which an order is repeated; the expected count makes the engine ignore a late
     * duplicate.
     */
    static final long ORDER_RETRY_MILLIS = 1_200;

    /** Time without effect after which an engine loses its place in the batch to another one. */
    static final long SWITCH_TIMEOUT_MILLIS = 4_000;

    /** An action that the caller must carry out. */
    public sealed interface Effect {
        /**
         * Send an order to load a weight version.
         *
         * @param server the engine
         * @param model the model
         * @param version the weight version to load
         * @param expectedOrders number of orders that the engine must have accepted before, otherwise it rejects this
         *     one
         * @param keepsRuns true if the remaining runs continue on the new weights
         */
        record Order(UpstreamServer server, String model, long version, long expectedOrders, boolean keepsRuns)
                implements Effect {}

        /**
         * Read an engine's state.
         *
         * @param server the engine
         */
        record ReadState(UpstreamServer server) implements Effect {}
    }

    /**
     * State that an engine reported.
     *
     * @param version the model's loaded weight version, negative if not stated
     * @param ordering true while the engine carries out an order
     * @param acceptedOrders number of orders accepted since the engine started
     * @param requests number of running and waiting requests
     */
    public record EngineState(long version, boolean ordering, long acceptedOrders, int requests) {}

    private static final long NEVER = Long.MIN_VALUE;

    /** Rollout state of one engine. */
    private static final class Progress {
        private EngineState state;
        private long version = -1;
        private long selectedAtMillis = NEVER;
        private long announcedAtMillis = NEVER;
        private long orderedAtMillis = NEVER;
        private long orderedVersion = NEVER;
        private long polledAtMillis = NEVER;
        private long deferredUntilMillis = NEVER;
    }

    /**
     * An engine that has not loaded the newest version.
     *
     * @param engine the engine
     * @param version the version that it has loaded
     * @param remainingMillis time until it must have a newer one, in milliseconds; zero or less if it is overdue
     */
    private record Outdated(UpstreamServer engine, long version, long remainingMillis) {
        private static final Comparator<Outdated> MOST_URGENT_FIRST = Comparator.comparingLong(
                        Outdated::remainingMillis)
                .thenComparingLong(Outdated::version)
                .thenComparing(outdated -> outdated.engine().id());
    }

    private final Map<String, Progress> byIncarnation = new HashMap<>();
    private Set<String> batch = Set.of();

    /**
     * Advances the rollout.
     *
     * @param names the weight versions named for the model, of which the last is rolled out
     * @param engines the engines that serve the model, without leaving ones
     * @param announced identifiers of the engines whose announcement has reached all nodes
     * @param boundMillis time from a version's name until it must be in force, in milliseconds
     * @param nowMillis the time in milliseconds
     * @return actions for the caller to carry out
     */
    public List<Effect> tick(
            NamedVersions names,
            Collection<UpstreamServer> engines,
            Set<String> announced,
            long boundMillis,
            long nowMillis) {
        String model = names.model();
        long target = names.latest();
        List<Outdated> outdated = new ArrayList<>();
        for (UpstreamServer engine : engines) {
            long version = versionOf(engine, model);
            Progress progress = progress(engine);
            if (version >= target || progress.orderedVersion != NEVER && version >= progress.orderedVersion) {
                // The switch has ended. If a newer version is named meanwhile, engines that wait for longer come first.
                progress.selectedAtMillis = NEVER;
                progress.orderedVersion = NEVER;
            }
            names.outdatedSinceMillis(version)
                    .ifPresent(sinceMillis ->
                            outdated.add(new Outdated(engine, version, sinceMillis + boundMillis - nowMillis)));
        }
        outdated.sort(Outdated.MOST_URGENT_FIRST);
        byIncarnation.keySet().retainAll(incarnations(engines));
        Set<String> batchIds = new TreeSet<>();
        List<Effect> effects = new ArrayList<>();
        for (UpstreamServer engine : selectBatch(outdated, batchSize(outdated, engines.size()), nowMillis)) {
            batchIds.add(engine.id());
            if (announced.contains(engine.id())) {
                advance(engine, model, target, nowMillis, effects);
            }
        }
        batch = batchIds;
        return effects;
    }

    private void advance(UpstreamServer engine, String model, long target, long nowMillis, List<Effect> effects) {
        Progress progress = progress(engine);
        if (progress.announcedAtMillis == NEVER) {
            progress.announcedAtMillis = nowMillis;
        }
        if (progress.polledAtMillis == NEVER || nowMillis - progress.polledAtMillis >= STATE_POLL_MILLIS) {
            progress.polledAtMillis = nowMillis;
            effects.add(new Effect.ReadState(engine));
        }
        EngineState state = progress.state;
        boolean pending =
                progress.orderedAtMillis != NEVER && nowMillis - progress.orderedAtMillis < ORDER_RETRY_MILLIS;
        if (state == null || state.ordering() || pending) {
            return;
        }
        boolean drained = state.requests() == 0 && nowMillis - progress.announcedAtMillis >= STATE_POLL_MILLIS;
        if (drained || nowMillis - progress.announcedAtMillis >= DRAIN_MILLIS) {
            progress.orderedAtMillis = nowMillis;
            progress.orderedVersion = target;
            effects.add(new Effect.Order(engine, model, target, state.acceptedOrders(), !drained));
        }
    }

    // After a leader change little time may be left. Past the bound, engines with old weights get no requests anyway.
    private static int batchSize(List<Outdated> outdated, int engines) {
        int needed = 0;
        for (int index = 0; index < outdated.size(); index++) {
            long remainingMillis = outdated.get(index).remainingMillis();
            long rounds = Math.max(1, (remainingMillis + OVERDUE_TOLERANCE_MILLIS) / SWITCH_DURATION_MILLIS);
            needed = Math.max(needed, (int) Math.ceil((index + 1) / (double) rounds));
        }
        return Math.max(needed, Math.max(MIN_SWITCHING, (int) (engines * SWITCHING_SHARE)));
    }

    private Set<UpstreamServer> selectBatch(List<Outdated> outdated, int batchSize, long nowMillis) {
        // Engines already in the batch stay in it.
        List<UpstreamServer> order =
                new ArrayList<>(outdated.stream().map(Outdated::engine).toList());
        order.sort(Comparator.comparing(engine -> progress(engine).selectedAtMillis == NEVER));
        Set<UpstreamServer> batch = new HashSet<>();
        for (UpstreamServer engine : order) {
            Progress progress = progress(engine);
            if (progress.selectedAtMillis != NEVER && nowMillis - progress.selectedAtMillis >= SWITCH_TIMEOUT_MILLIS) {
                progress.selectedAtMillis = NEVER;
                progress.deferredUntilMillis = nowMillis + SWITCH_TIMEOUT_MILLIS;
            }
            if (batch.size() < batchSize && nowMillis >= progress.deferredUntilMillis) {
                markSelected(progress, nowMillis);
                batch.add(engine);
            }
        }
        return batch;
    }

    private static void markSelected(Progress progress, long nowMillis) {
        if (progress.selectedAtMillis == NEVER) {
            progress.selectedAtMillis = nowMillis;
            progress.announcedAtMillis = NEVER;
            progress.orderedAtMillis = NEVER;
            progress.orderedVersion = NEVER;
            progress.state = null;
        }
    }

    /**
     * Returns the engines of the current batch, to be announced to all nodes.
     *
     * @return identifiers of the engines
     */
    public Set<String> enginesToAnnounce() {
        return batch;
    }

    /**
     * Records that an engine rejected an order. The order is sent again after the next report of the engine.
     *
     * @param engine the engine
     */
    public void onRejected(UpstreamServer engine) {
        Progress progress = progress(engine);
        progress.state = null;
        progress.orderedAtMillis = NEVER;
        progress.polledAtMillis = NEVER;
    }

    /**
     * Records a report of an engine.
     *
     * @param engine the engine
     * @param state the reported state
     */
    public void onReport(UpstreamServer engine, EngineState state) {
        Progress progress = progress(engine);
        progress.state = state;
        progress.version = Math.max(progress.version, state.version());
    }

    private long versionOf(UpstreamServer engine, String model) {
        long registered = engine.versionByModel().getOrDefault(model, -1L);
        return Math.max(registered, progress(engine).version);
    }

    private Progress progress(UpstreamServer engine) {
        return byIncarnation.computeIfAbsent(engine.incarnation(), key -> new Progress());
    }

    private static Set<String> incarnations(Collection<UpstreamServer> engines) {
        Set<String> incarnations = new HashSet<>();
        engines.forEach(engine -> incarnations.add(engine.incarnation()));
        return incarnations;
    }
}
