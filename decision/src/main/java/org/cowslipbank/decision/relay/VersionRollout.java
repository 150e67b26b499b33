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
 * Brings engines to a named weight version, a few at a time. All nodes are told first which engines are next and stop
 * sending to them; an engine gets its order when its runs have ended or when they have had their time.
 *
 * <p>The load pattern is a version named at full load. Engines that wait for their longest run would exceed the
 * version's bound, and what has not started is rejected by an engine with an order and sent a second time by each node
 * that was not told.
 */
public final class VersionRollout {
    /** Share of the engines that are out of use at once; loads slow down beyond about two in seven. */
    static final double SWITCHING_SHARE = 0.34;

    /** The fewest engines that are out of use at once. */
    static final int MIN_SWITCHING = 2;

    /** Time that an engine is out of use: its runs end, it reports, it loads. */
    static final long ROUND_MILLIS = 1_450;

    /** Time after the bound at which the last engine may be done; engines that are behind are closed by then. */
    static final long LATE_MILLIS = 500;

    /** How long runs may take to end before their engine gets its order; most last 0.5 to 2 s and began before. */
    static final long DRAIN_MILLIS = 900;

    /** How often an engine's state is read; reports are priced and some 200 ms old. */
    static final long REPORT_MILLIS = 200;

    /** After this time an order that shows no effect is given again; late ones are voided by their expected count. */
    static final long ORDER_AGAIN_MILLIS = 1_200;

    /** After this time without any effect another engine gets the turn. */
    static final long TURN_MILLIS = 4_000;

    /** What the shell has to do. */
    public sealed interface Effect {
        /**
         * Give an order.
         *
         * @param server the engine
         * @param model the model
         * @param version the version
         * @param expectedOrders orders that it must have accepted before
         * @param keepsRuns true if the remaining runs go on under the new weights
         */
        record Order(UpstreamServer server, String model, long version, long expectedOrders, boolean keepsRuns)
                implements Effect {}

        /**
         * Read an engine's state.
         *
         * @param server the engine
         */
        record Read(UpstreamServer server) implements Effect {}
    }

    /**
     * State of an engine as it reported it.
     *
     * @param version the model's version there, negative if it does not say
     * @param ordering true while an order is carried out
     * @param acceptedOrders orders accepted since its start
     * @param requests requests that run or wait
     */
    public record EngineState(long version, boolean ordering, long acceptedOrders, int requests) {}

    private static final long NEVER = Long.MIN_VALUE;

    /** What is known of an engine. */
    private static final class Progress {
        private EngineState state;
        private long version = -1;
        private long turnSinceMillis = NEVER;
        private long announcedAtMillis = NEVER;
        private long orderedAtMillis = NEVER;
        private long askedAtMillis = NEVER;
        private long passedOverUntilMillis = NEVER;
    }

    private final Map<String, Progress> byIncarnation = new HashMap<>();
    private Set<String> wanted = Set.of();

    /**
     * Takes the next steps.
     *
     * @param model the model
     * @param target the named version
     * @param engines the engines that serve the model, without those that leave
     * @param announced identifiers of the engines that all nodes can know to be next
     * @param leftMillis time until the version must be in force, in milliseconds; zero or less if it is overdue
     * @param nowMillis the time in milliseconds
     * @return what to do
     */
    public List<Effect> tick(
            String model,
            long target,
            Collection<UpstreamServer> engines,
            Set<String> announced,
            long leftMillis,
            long nowMillis) {
        List<UpstreamServer> behind = new ArrayList<>();
        for (UpstreamServer engine : engines) {
            if (versionOf(engine, model) < target) {
                behind.add(engine);
            } else {
                progress(engine).turnSinceMillis = NEVER;
            }
        }
        byIncarnation.keySet().retainAll(incarnations(engines));
        Set<String> ids = new TreeSet<>();
        List<Effect> effects = new ArrayList<>();
        for (UpstreamServer engine : turn(behind, most(behind.size(), engines.size(), leftMillis), nowMillis)) {
            ids.add(engine.id());
            if (announced.contains(engine.id())) {
                step(engine, model, target, nowMillis, effects);
            }
        }
        wanted = ids;
        return effects;
    }

    private void step(UpstreamServer engine, String model, long target, long nowMillis, List<Effect> effects) {
        Progress progress = progress(engine);
        if (progress.announcedAtMillis == NEVER) {
            progress.announcedAtMillis = nowMillis;
        }
        if (progress.askedAtMillis == NEVER || nowMillis - progress.askedAtMillis >= REPORT_MILLIS) {
            progress.askedAtMillis = nowMillis;
            effects.add(new Effect.Read(engine));
        }
        EngineState state = progress.state;
        boolean pending =
                progress.orderedAtMillis != NEVER && nowMillis - progress.orderedAtMillis < ORDER_AGAIN_MILLIS;
        if (state == null || state.ordering() || pending) {
            return;
        }
        boolean drained = state.requests() == 0 && nowMillis - progress.announcedAtMillis >= REPORT_MILLIS;
        if (drained || nowMillis - progress.announcedAtMillis >= DRAIN_MILLIS) {
            progress.orderedAtMillis = nowMillis;
            effects.add(new Effect.Order(engine, model, target, state.acceptedOrders(), !drained));
        }
    }

    // After a change of leader little time may be left; past the bound engines with old weights are of no use anyway.
    private static int most(int behind, int engines, long leftMillis) {
        long rounds = Math.max(1, (leftMillis + LATE_MILLIS) / ROUND_MILLIS);
        int needed = (int) Math.ceil(behind / (double) rounds);
        return Math.max(needed, Math.max(MIN_SWITCHING, (int) (engines * SWITCHING_SHARE)));
    }

    private Set<UpstreamServer> turn(List<UpstreamServer> behind, int most, long nowMillis) {
        // Engines that already have their turn stay in it.
        List<UpstreamServer> order = new ArrayList<>(behind);
        order.sort(Comparator.comparing((UpstreamServer engine) -> progress(engine).turnSinceMillis == NEVER)
                .thenComparing(UpstreamServer::id));
        Set<UpstreamServer> turn = new HashSet<>();
        for (UpstreamServer engine : order) {
            Progress progress = progress(engine);
            if (progress.turnSinceMillis != NEVER && nowMillis - progress.turnSinceMillis >= TURN_MILLIS) {
                progress.turnSinceMillis = NEVER;
                progress.passedOverUntilMillis = nowMillis + TURN_MILLIS;
            }
            if (turn.size() < most && nowMillis >= progress.passedOverUntilMillis) {
                beginTurn(progress, nowMillis);
                turn.add(engine);
            }
        }
        return turn;
    }

    private static void beginTurn(Progress progress, long nowMillis) {
        if (progress.turnSinceMillis == NEVER) {
            progress.turnSinceMillis = nowMillis;
            progress.announcedAtMillis = NEVER;
            progress.orderedAtMillis = NEVER;
            progress.state = null;
        }
    }

    /**
     * Returns the engines that are next, to be announced to all nodes.
     *
     * @return their identifiers
     */
    public Set<String> wanted() {
        return wanted;
    }

    /**
     * An engine did not take an order; it is given again as soon as the engine's state is read.
     *
     * @param engine the engine
     */
    public void onRejected(UpstreamServer engine) {
        Progress progress = progress(engine);
        progress.state = null;
        progress.orderedAtMillis = NEVER;
        progress.askedAtMillis = NEVER;
    }

    /**
     * An engine reported its state.
     *
     * @param engine the engine
     * @param state the state
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
