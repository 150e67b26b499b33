package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Chooses the upstream of a request, or leaves the request waiting.
 *
 * <p>The memory of an engine holds about eight long prompts at once, and while the engine computes one, all its streams
 * slow down to a quarter of their speed. Engines that accept every request therefore collapse under load: streams last
 * longer, fill the memory and evict each other. So an engine gets a long prompt only while its memory use and prompt
 * backlog are below their limits, and otherwise the prompt waits at the node; the limits for short prompts, which cost
 * little, are higher, or those for urgent ones where the long prompts are the most urgent ones ({@link PriorityLimits}).
 * Each shared part has a home engine, which all nodes compute alike, and a request goes elsewhere
 * only if the expected delay at the home engine exceeds that of fetching or computing the part at another engine. In a
 * large service it goes to one of the next few engines in the order of its part, unless these are loaded as well, so that
 * nodes with old loads do not all choose the same idle engine, and the part is kept by few engines. The critical loads are a
 * start with empty caches, when every part must be computed once, and a peak of demand on many nodes.
 *
 * <p>Other engines may hold a part as well, because requests were placed there. They count as holding it if this node
 * knows of it, so that a request that leaves its home engine goes there first. A home engine that has just started counts as
 * lacking its parts. Their computation there is not penalized, because that is where later requests look for them; with
 * the penalty, the requests of each part would be spread over all engines after a restart.
 */
public final class UpstreamSelector {
    /** Prompt tokens that an engine computes per millisecond; both engine data sheets state 62 to 66. */
    static final double PREFILL_TOKENS_PER_MILLI = 62;

    /** Tokens fetched from a store per millisecond over the slower of the two links and across data centres. */
    static final double FETCH_TOKENS_PER_MILLI = 110;

    /**
     * Penalty for computing a shared token again, in milliseconds of delay per token. It stands for the cost to other
     * requests: the platform prices 1,000 such tokens at half a short answer.
     */
    static final double RECOMPUTE_PENALTY_MILLIS_PER_TOKEN = 0.05;

    /** Share of an engine's memory that prompts may fill; answers need about another tenth of that. */
    static final double PROMPT_MEMORY_SHARE = 0.9;

    /** Share of an engine's memory that prompts of a tenth of the memory or more must leave free for shorter ones. */
    static final double SHORT_PROMPT_MEMORY_SHARE = 0.15;

    /** Prompt size from which a prompt counts as long, as a share of an engine's memory. */
    static final double LONG_PROMPT_SHARE = 0.1;

    /**
     * Prompt size from which capacity is reserved, as a share of an engine's memory: about the largest tenth of
     * prompts.
     */
    static final double RESERVATION_SHARE = 0.18;

    /** Largest backlog of prompt tokens at which an engine gets a long prompt: one long prompt, 200 ms. */
    static final long LONG_BACKLOG_TOKENS = 12_000;

    /** Largest backlog of prompt tokens at which an engine gets a short prompt. */
    static final long SHORT_BACKLOG_TOKENS = 40_000;

    /** Delay that each request running at an engine adds, in milliseconds; a larger batch lengthens each step. */
    static final double MILLIS_PER_RUNNING_REQUEST = 3;

    /**
     * Delay added for the shortest prompts at an engine that limits its requests per second. The limit counts requests and
     * not tokens, so the few requests that it takes should be long ones; those relieve the other engines most.
     */
    static final long LIMITED_PENALTY_MILLIS = 150;

    /**
     * Number of engines up to which all are compared for each prompt. Deployments of that size have at most nine nodes, which
     * know each other's load within 180 ms.
     */
    static final int MAX_COMPARED_ENGINES = 16;

    /**
     * Number of engines that are compared first in a larger service: those of the first ranks for the prompt's shared part.
     * Loads are up to 540 ms old there. If all nodes compared all engines, they would choose the same few at the same time: 22
     * prompts reached one engine within 200 ms where 0.8 was the mean. Two choices are enough to avoid loaded engines
     * (Mitzenmacher, "The power of two choices in randomized load balancing").
     */
    static final int NEAREST_ENGINES = 2;

    /**
     * Delay in milliseconds that the load at the chosen engine may cause; above it further engines are compared, and their
     * number is doubled. It is two fifths of the shortest latency objective of a stream.
     */
    static final long MAX_NEAREST_LOAD_MILLIS = 200;

    private static final Work NO_WORK = new Work(0, 0, 0, 0);

    private UpstreamSelector() {}

    /**
     * Size and affinity key of a prompt.
     *
     * @param key affinity key; requests with the same key have the same home engine
     * @param sharedTokens tokens of the parts that are shared with other requests
     * @param ownTokens tokens that only this request has
     * @param capacityTokens tokens that fit into an engine's memory
     * @param limitWeight how far its limits are from the larger ones (zero) towards the smaller ones (one); empty if that
     *     follows from its length
     */
    public record Prompt(String key, int sharedTokens, int ownTokens, long capacityTokens, OptionalDouble limitWeight) {
        Prompt(String key, int sharedTokens, int ownTokens, long capacityTokens) {
            this(key, sharedTokens, ownTokens, capacityTokens, OptionalDouble.empty());
        }

        int tokens() {
            return sharedTokens + ownTokens;
        }
    }

    /**
     * A chosen upstream with the estimates behind the choice.
     *
     * @param server the chosen upstream
     * @param unreadTokens prompt tokens that it probably has to compute
     * @param rank its rank in the rendezvous order of the key, zero for the home engine
     * @param storedTokens shared tokens that it can fetch from a store or another engine
     * @param expectedMillis the expected delay in milliseconds, penalty included
     * @param atHome true if it is the home engine of the key among all engines that take new work
     * @param holdsShared true if it probably holds the shared parts
     */
    public record Choice(
            UpstreamServer server,
            int unreadTokens,
            int rank,
            int storedTokens,
            long expectedMillis,
            boolean atHome,
            boolean holdsShared) {
        /**
         * Returns the choice of a server of a plain service, which has no prompt.
         *
         * @param server the server
         * @return the choice
         */
        public static Choice plain(UpstreamServer server) {
            return new Choice(server, 0, 0, 0, 0, true, true);
        }

        private Choice withAtHome(boolean home) {
            return new Choice(server, unreadTokens, rank, storedTokens, expectedMillis, home, holdsShared);
        }
    }

    /**
     * What is known of where the shared parts of a prompt are.
     *
     * @param knownAt true for an engine at which the parts were placed recently, as far as this node knows
     * @param probablyAtHome true if an engine holds the parts provided that it is their home engine
     */
    public record SharedPart(Predicate<UpstreamServer> knownAt, Predicate<UpstreamServer> probablyAtHome) {
        /** Only the home engine holds the parts. */
        public static final SharedPart AT_HOME_ONLY = new SharedPart(server -> false, server -> true);

        private boolean isAt(UpstreamServer server, int rank) {
            return rank == 0 && probablyAtHome.test(server) || knownAt.test(server);
        }
    }

    /**
     * Eligibility and load of the upstreams for one request.
     *
     * @param excluded incarnations to which the request was already sent
     * @param preferred true for upstreams that are used while at least one of them is available
     * @param available true for upstreams that should get a request now
     * @param load load of all nodes in flight at an upstream
     * @param storedTokens shared tokens that an engine can fetch from a store or another engine, for its weight version
     * @param penaltyMillis delay added to the estimate of an upstream, in milliseconds
     * @param sharedPart which engines hold the shared parts
     */
    public record Candidates(
            Set<String> excluded,
            Predicate<UpstreamServer> preferred,
            Predicate<UpstreamServer> available,
            Function<UpstreamServer, FleetLoads.Load> load,
            ToIntFunction<UpstreamServer> storedTokens,
            ToLongFunction<UpstreamServer> penaltyMillis,
            SharedPart sharedPart) {
        private boolean isPreferredEligible(UpstreamServer server) {
            return !excluded.contains(server.incarnation()) && preferred.test(server) && available.test(server);
        }

        private List<UpstreamServer> eligible(List<UpstreamServer> servers) {
            List<UpstreamServer> eligible = new ArrayList<>();
            for (UpstreamServer server : servers) {
                if (!excluded.contains(server.incarnation()) && available.test(server)) {
                    eligible.add(server);
                }
            }
            List<UpstreamServer> preferredEligible =
                    eligible.stream().filter(preferred).toList();
            return preferredEligible.isEmpty() ? eligible : preferredEligible;
        }
    }

    /**
     * Chooses the engine with the least expected delay.
     *
     * @param prompt the prompt
     * @param servers the engines of the service that take new work and may get this request
     * @param large whether the service is large, from {@link #isLarge} of all its active engines
     * @param candidates their eligibility and load
     * @return the engine, or empty if none has capacity, so that the request must wait
     */
    public static Optional<Choice> chooseEngine(
            Prompt prompt, List<UpstreamServer> servers, boolean large, Candidates candidates) {
        Optional<Choice> home = chooseUnloadedHome(prompt, servers, candidates);
        return home.isPresent() ? home : chooseAmongAll(prompt, servers, large, candidates);
    }

    /** Chooses as {@link #chooseEngine(Prompt, List, boolean, Candidates)} for a request that all active engines may get. */
    static Optional<Choice> chooseEngine(Prompt prompt, List<UpstreamServer> servers, Candidates candidates) {
        return chooseEngine(prompt, servers, isLarge(servers), candidates);
    }

    /**
     * Returns the home engine if it holds the shared parts and its load costs less than fetching them elsewhere. Only an
     * engine that is known to hold them too could have a smaller expected delay; it is left alone, so that it may use its
     * memory for its own parts. Saves the scan of all engines for most requests of a large fleet.
     */
    private static Optional<Choice> chooseUnloadedHome(
            Prompt prompt, List<UpstreamServer> servers, Candidates candidates) {
        Optional<UpstreamServer> owner = Rendezvous.owner(prompt.key(), servers, UpstreamServer::address);
        if (owner.isEmpty() || !candidates.isPreferredEligible(owner.get())) {
            return Optional.empty();
        }
        UpstreamServer server = owner.get();
        if (prompt.sharedTokens() > 0 && !candidates.sharedPart().isAt(server, 0)) {
            return Optional.empty();
        }
        FleetLoads.Load load = candidates.load().apply(server);
        double millis = expectedMillis(new Work(prompt.ownTokens(), 0, 0, 0), load)
                + candidates.penaltyMillis().applyAsLong(server);
        double leastMillisElsewhere =
                expectedMillis(new Work(prompt.ownTokens(), prompt.sharedTokens(), 0, 0), FleetLoads.Load.NONE);
        if (millis > leastMillisElsewhere || !hasCapacity(prompt, load, server.slots())) {
            return Optional.empty();
        }
        int fetchableTokens = candidates.storedTokens().applyAsInt(server);
        return Optional.of(new Choice(server, prompt.ownTokens(), 0, fetchableTokens, (long) millis, true, true));
    }

    /**
     * Returns the delay added to the estimate of an engine that limits its requests per second.
     *
     * @param promptTokens length of the prompt in tokens
     * @param capacityTokens tokens that fit into an engine's memory
     * @return the delay in milliseconds, zero for a long prompt
     */
    public static long limitedPenaltyMillis(int promptTokens, long capacityTokens) {
        return Math.round(LIMITED_PENALTY_MILLIS * (1 - longPromptWeight(promptTokens, capacityTokens)));
    }

    /** Returns how long a prompt is for an engine, from zero for an empty one to one from the size of a long one. */
    private static double longPromptWeight(int promptTokens, long capacityTokens) {
        return Math.min(1, promptTokens / (LONG_PROMPT_SHARE * Math.max(1, capacityTokens)));
    }

    /**
     * Returns whether a service has so many engines that its nodes choose by old loads and each sees little of an engine. This
     * depends on the size of the deployment, and not on how many engines may get a request at the moment.
     *
     * @param engines the active engines of the service
     * @return true for more engines than a small fleet compares for each prompt
     */
    public static boolean isLarge(List<UpstreamServer> engines) {
        return engines.size() > MAX_COMPARED_ENGINES;
    }

    /**
     * Returns the engines that a large service compares first for a shared part. All nodes rank them alike, so they probably
     * hold the part if any engine does.
     *
     * @param key affinity key of the prompt
     * @param engines the engines of the service that take new work
     * @return the home engine and the next one, fewer if there are fewer
     */
    public static List<UpstreamServer> nearest(String key, List<UpstreamServer> engines) {
        return Rendezvous.top(key, engines, UpstreamServer::address, NEAREST_ENGINES);
    }

    static Optional<Choice> chooseAmongAll(
            Prompt prompt, List<UpstreamServer> servers, boolean large, Candidates candidates) {
        List<UpstreamServer> eligible = candidates.eligible(servers);
        Iterator<UpstreamServer> order = Rendezvous.order(prompt.key(), eligible, UpstreamServer::address);
        int window = large ? NEAREST_ENGINES : eligible.size();
        Estimate best = null;
        for (int from = 0; from < eligible.size(); from += window, window *= 2) {
            for (int rank = from; rank < Math.min(eligible.size(), from + window); rank++) {
                Estimate estimate = estimate(prompt, order.next(), rank, candidates);
                if (estimate != null && (best == null || estimate.millis() < best.millis())) {
                    best = estimate;
                }
            }
            if (best != null && best.loadMillis() <= MAX_NEAREST_LOAD_MILLIS) {
                break;
            }
        }
        return Optional.ofNullable(best).map(Estimate::choice).map(choice -> {
            // Another engine comes first in the order while the home engine is not eligible.
            boolean atHome =
                    choice.atHome() && (eligible.size() == servers.size() || isHome(choice.server(), prompt, servers));
            return choice.withAtHome(atHome);
        });
    }

    /**
     * An engine with capacity for a prompt.
     *
     * @param choice the engine as a choice
     * @param millis the expected delay in milliseconds, penalty included
     * @param loadMillis the part of it that the engine's load and penalty cause
     */
    private record Estimate(Choice choice, double millis, double loadMillis) {}

    /** Estimates an engine; null if it has no capacity for the prompt. */
    private static Estimate estimate(Prompt prompt, UpstreamServer server, int rank, Candidates candidates) {
        FleetLoads.Load load = candidates.load().apply(server);
        return hasCapacity(prompt, load, server.slots()) ? estimate(prompt, server, rank, load, candidates) : null;
    }

    private static Estimate estimate(
            Prompt prompt, UpstreamServer server, int rank, FleetLoads.Load load, Candidates candidates) {
        boolean holdsShared = candidates.sharedPart().isAt(server, rank);
        int missingTokens = holdsShared ? 0 : prompt.sharedTokens();
        int fetchableTokens = candidates.storedTokens().applyAsInt(server);
        int fetchedTokens = Math.min(missingTokens, fetchableTokens);
        int computedTokens = missingTokens - fetchedTokens;
        Work work = new Work(prompt.ownTokens(), fetchedTokens, computedTokens, rank == 0 ? 0 : computedTokens);
        long penaltyMillis = candidates.penaltyMillis().applyAsLong(server);
        double millis = expectedMillis(work, load) + penaltyMillis;
        int unreadTokens = work.ownTokens() + work.computedTokens();
        Choice choice = new Choice(server, unreadTokens, rank, fetchableTokens, (long) millis, rank == 0, holdsShared);
        return new Estimate(choice, millis, expectedMillis(NO_WORK, load) + penaltyMillis);
    }

    /**
     * An upstream of a service as the choice for one request sees it.
     *
     * @param server the upstream
     * @param eligibility whether the request may go there
     * @param load load of all nodes in flight there
     * @param expectedMillis expected delay of the request there in milliseconds, penalty included; empty without a prompt
     */
    public record Compared(
            UpstreamServer server, Eligibility eligibility, FleetLoads.Load load, OptionalLong expectedMillis) {}

    /**
     * States how the choice sees each upstream of a service. An engine that is excluded is estimated at the rank that it would
     * have among the others.
     *
     * @param prompt the prompt, empty for a request without one
     * @param registered all registered upstreams of the service
     * @param servers those of them that the choice is made from
     * @param candidates their eligibility and load
     * @param eligibility the reasons of exclusion; eligible for exactly those of the servers that are available
     * @return the upstreams, for a prompt in its order of engines
     */
    public static List<Compared> compare(
            Optional<Prompt> prompt,
            List<UpstreamServer> registered,
            List<UpstreamServer> servers,
            Candidates candidates,
            Function<UpstreamServer, Eligibility> eligibility) {
        Set<String> eligible = new HashSet<>();
        candidates.eligible(servers).forEach(server -> eligible.add(server.id()));
        List<UpstreamServer> order = Rendezvous.top(
                prompt.map(Prompt::key).orElse(""), registered, UpstreamServer::address, registered.size());
        List<Compared> compared = new ArrayList<>();
        int rank = 0;
        for (UpstreamServer server : order) {
            FleetLoads.Load load = candidates.load().apply(server);
            Eligibility reason = eligibility.apply(server);
            if (reason.isEligible() && !eligible.contains(server.id())) {
                reason = Eligibility.SWITCHING_WEIGHTS;
            } else if (reason.isEligible() && prompt.isPresent() && !hasCapacity(prompt.get(), load, server.slots())) {
                reason = Eligibility.NO_CAPACITY;
            }
            OptionalLong expectedMillis = prompt.isEmpty()
                    ? OptionalLong.empty()
                    : OptionalLong.of((long) estimate(prompt.get(), server, rank, load, candidates)
                            .millis());
            compared.add(new Compared(server, reason, load, expectedMillis));
            rank += eligible.contains(server.id()) ? 1 : 0;
        }
        return compared;
    }

    private static boolean isHome(UpstreamServer server, Prompt prompt, List<UpstreamServer> servers) {
        return Rendezvous.owner(prompt.key(), servers, UpstreamServer::address)
                .filter(server::equals)
                .isPresent();
    }

    /**
     * Chooses the engine at which capacity is reserved for a waiting prompt. Without a reservation shorter prompts
     * would keep taking the capacity that becomes free, and a very long one would starve.
     *
     * @param prompt the prompt
     * @param servers the engines of the service that take new work
     * @param candidates their eligibility and load
     * @return the engine with the fewest tokens in flight, or empty for a prompt below the reservation size
     */
    public static Optional<UpstreamServer> chooseReservation(
            Prompt prompt, List<UpstreamServer> servers, Candidates candidates) {
        if (prompt.tokens() < RESERVATION_SHARE * prompt.capacityTokens()) {
            return Optional.empty();
        }
        return candidates.eligible(servers).stream()
                .min(Comparator.comparingLong(
                        server -> candidates.load().apply(server).tokens()));
    }

    /**
     * Returns whether an engine has capacity for a prompt.
     *
     * @param prompt the prompt
     * @param load the load in flight at the engine
     * @param slots number of requests that the engine runs at once
     * @return true if the prompt would neither evict other runs nor wait long there
     */
    static boolean hasCapacity(Prompt prompt, FleetLoads.Load load, int slots) {
        if (load.requests() == 0) {
            return true;
        }
        double weight =
                prompt.limitWeight().orElseGet(() -> longPromptWeight(prompt.tokens(), prompt.capacityTokens()));
        double memoryShare = PROMPT_MEMORY_SHARE - SHORT_PROMPT_MEMORY_SHARE * weight;
        double backlogLimit = SHORT_BACKLOG_TOKENS + weight * (LONG_BACKLOG_TOKENS - SHORT_BACKLOG_TOKENS);
        return load.requests() < slots
                && load.tokens() + prompt.tokens() <= memoryShare * prompt.capacityTokens()
                && load.unreadTokens() <= backlogLimit;
    }

    /**
     * Work that a prompt causes at one engine.
     *
     * @param ownTokens tokens that only this request has
     * @param fetchedTokens shared tokens fetched from a store or another engine
     * @param computedTokens shared tokens that the engine has to compute
     * @param penalizedTokens those of them that are probably computed again and that no later request looks for there
     */
    record Work(int ownTokens, int fetchedTokens, int computedTokens, int penalizedTokens) {}

    /**
     * Estimates the delay of a request plus the cost of its recomputed tokens to other requests.
     *
     * @param work work that the prompt causes at the engine
     * @param load the load in flight at the engine
     * @return the delay in milliseconds
     */
    static double expectedMillis(Work work, FleetLoads.Load load) {
        double prefillMillis =
                (load.unreadTokens() + work.ownTokens() + work.computedTokens()) / PREFILL_TOKENS_PER_MILLI;
        return prefillMillis
                + work.fetchedTokens() / FETCH_TOKENS_PER_MILLI
                + work.penalizedTokens() * RECOMPUTE_PENALTY_MILLIS_PER_TOKEN
                + load.requests() * MILLIS_PER_RUNNING_REQUEST;
    }

    /**
     * Chooses the server of a plain service with the fewest requests in flight, preferring the node's data centre in
     * case of a tie.
     *
     * @param key key of the rendezvous order that breaks the remaining ties
     * @param dataCentre the node's data centre
     * @param servers the servers of the service that take new work
     * @param candidates their eligibility and load
     * @return the server, or empty if none should get a request now
     */
    public static Optional<UpstreamServer> choosePlainServer(
            String key, String dataCentre, List<UpstreamServer> servers, Candidates candidates) {
        List<UpstreamServer> eligible = candidates.eligible(servers);
        return Rendezvous.top(key, eligible, UpstreamServer::id, eligible.size()).stream()
                .min(Comparator.comparingInt((UpstreamServer server) ->
                                candidates.load().apply(server).requests())
                        .thenComparing(server -> !server.dataCentre().equals(dataCentre)));
    }
}
