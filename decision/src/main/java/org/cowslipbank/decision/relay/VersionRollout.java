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
 * Brings engines to a named weight version, a few at a time: first all nodes are told which engines are next and stop
 * sending to them, then each gets its order. The load pattern is a version named at full load: an order makes an engine
 * reject what has not started, so rejected requests would be sent a second time by every node that was not told.
 */
public final class VersionRollout {
    /** Share of the engines that load at once: from the platform's sheets, loads slow down beyond about two in seven. */
    static final double LOADING_SHARE = 2.0 / 7;

    /** The fewest engines that load at once. */
    static final int MIN_LOADING = 2;

    /** How often the state of an engine with an order is read; reports are priced and some 200 ms old. */
    static final long REPORT_MILLIS = 300;

    /** After this time an order that shows no effect is given again; late orders are voided by their expected count. */
    static final long ORDER_AGAIN_MILLIS = 1_500;

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
         */
        record Order(UpstreamServer server, String model, long version, long expectedOrders) implements Effect {}

        /**
         * Read an engine's state.
         *
         * @param server the engine
         */
        record Read(UpstreamServer server) implements Effect {}
    }

    private static final long NEVER = Long.MIN_VALUE;

    /** What is known of an engine. */
    private static final class Progress {
        private long acceptedOrders = -1;
        private long version = -1;
        private boolean ordering;
        private long orderedAtMillis = NEVER;
        private long askedAtMillis = NEVER;
        private long turnSinceMillis = NEVER;
        private long passedOverUntilMillis = NEVER;
        private boolean mustRead;
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
     * @param nowMillis the time in milliseconds
     * @return what to do
     */
    public List<Effect> tick(
            String model, long target, Collection<UpstreamServer> engines, Set<String> announced, long nowMillis) {
        Map<String, UpstreamServer> behind = new HashMap<>();
        for (UpstreamServer engine : engines) {
            if (versionOf(engine, model) < target) {
                behind.put(engine.incarnation(), engine);
            }
        }
        byIncarnation.keySet().retainAll(incarnations(engines));
        Set<UpstreamServer> turn = turn(behind, engines.size(), nowMillis);
        Set<String> ids = new TreeSet<>();
        turn.forEach(engine -> ids.add(engine.id()));
        wanted = ids;
        List<Effect> effects = new ArrayList<>();
        for (UpstreamServer engine : turn) {
            if (announced.contains(engine.id())) {
                step(engine, model, target, nowMillis, effects);
            }
        }
        return effects;
    }

    private void step(UpstreamServer engine, String model, long target, long nowMillis, List<Effect> effects) {
        Progress progress = progress(engine);
        boolean ordered = progress.orderedAtMillis != NEVER;
        boolean mayRead = progress.askedAtMillis == NEVER || nowMillis - progress.askedAtMillis >= REPORT_MILLIS;
        if ((ordered || progress.mustRead) && mayRead) {
            progress.askedAtMillis = nowMillis;
            effects.add(new Effect.Read(engine));
        }
        boolean again = ordered && nowMillis - progress.orderedAtMillis >= ORDER_AGAIN_MILLIS;
        if (progress.ordering || progress.mustRead || ordered && !again) {
            return;
        }
        progress.orderedAtMillis = nowMillis;
        long expected = progress.acceptedOrders < 0 ? engine.acceptedOrders() : progress.acceptedOrders;
        effects.add(new Effect.Order(engine, model, target, expected));
    }

    private Set<UpstreamServer> turn(Map<String, UpstreamServer> behind, int engines, long nowMillis) {
        int most = Math.max(MIN_LOADING, (int) (engines * LOADING_SHARE));
        List<UpstreamServer> order = new ArrayList<>(behind.values());
        // Engines that already have their turn stay in it.
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
                if (progress.turnSinceMillis == NEVER) {
                    progress.turnSinceMillis = nowMillis;
                }
                turn.add(engine);
            }
        }
        return turn;
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
     * An order was refused because of the number of accepted orders, or its outcome is not known.
     *
     * @param engine the engine
     */
    public void onUncertain(UpstreamServer engine) {
        Progress progress = progress(engine);
        progress.mustRead = true;
        progress.askedAtMillis = NEVER;
    }

    /**
     * An engine reported its state.
     *
     * @param engine the engine
     * @param model the model
     * @param version the model's version there, negative if it does not say
     * @param ordering true while an order is carried out
     * @param acceptedOrders orders accepted since its start
     */
    public void onReport(UpstreamServer engine, String model, long version, boolean ordering, long acceptedOrders) {
        Progress progress = progress(engine);
        progress.version = Math.max(progress.version, version);
        progress.ordering = ordering;
        progress.acceptedOrders = acceptedOrders;
        progress.mustRead = false;
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
