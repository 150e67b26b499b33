package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Chooses the upstream of a request, or lets it wait.
 *
 * <p>An engine's memory holds about eight long prompts at once, and while it reads one, all its streams slow down to a
 * quarter of their speed. Engines that take whatever comes therefore collapse: streams last longer, fill the memory and
 * displace each other. So an engine gets a long prompt only while its memory and its backlog have room, and the prompt
 * waits at the node otherwise; short prompts, which cost it little, find room for longer. Each shared part has a home
 * engine, which all nodes compute alike, and a request leaves it only when the expected delay there exceeds that of
 * fetching or reading the part elsewhere. The load pattern is a start with empty caches, at which every part has to be
 * read once.
 */
public final class UpstreamChoice {
    /** Prompt tokens that an engine reads in a millisecond; both sheets state 62 to 66. */
    static final double READ_TOKENS_PER_MILLI = 62;

    /** Tokens fetched from a store in a millisecond, over the slower of the two links and across data centres. */
    static final double FETCH_TOKENS_PER_MILLI = 110;

    /**
     * Delay that reading a shared token again is worth to the other requests, in milliseconds a token: the platform
     * prices 1,000 of them at half a short answer.
     */
    static final double READ_AGAIN_MILLIS_PER_TOKEN = 0.05;

    /** Share of an engine's memory that prompts may fill; answers grow by about a tenth of that. */
    static final double MEMORY_SHARE = 0.9;

    /** Part of the memory that is kept free of prompts that fill a tenth of it or more. */
    static final double SHORT_PROMPTS_SHARE = 0.15;

    /** Size of a prompt that counts as long, as a share of an engine's memory. */
    static final double LONG_PROMPT_SHARE = 0.1;

    /** Size of a prompt for which room is kept, as a share of an engine's memory: about the largest tenth of them. */
    static final double BOOKING_SHARE = 0.18;

    /** Tokens that an engine may have left to read when it gets a long prompt: one long prompt, 200 ms. */
    static final long LONG_BACKLOG_TOKENS = 12_000;

    /** Tokens that an engine may have left to read when it gets a short prompt. */
    static final long SHORT_BACKLOG_TOKENS = 40_000;

    /** Delay that each request running at an engine adds, in milliseconds: steps take longer with more of them. */
    static final double REQUEST_MILLIS = 3;

    private UpstreamChoice() {}

    /**
     * What is known of a prompt when its engine is chosen.
     *
     * @param key requests with the same key have the same home engine
     * @param sharedTokens tokens of parts that other requests share
     * @param ownTokens tokens that only this request has
     * @param capacityTokens tokens that fit into an engine
     */
    public record Prompt(String key, int sharedTokens, int ownTokens, long capacityTokens) {
        int tokens() {
            return sharedTokens + ownTokens;
        }
    }

    /**
     * What an engine was chosen for.
     *
     * @param server the engine
     * @param unreadTokens tokens that it probably has to read
     * @param rank its place in the key's order, zero for the home engine
     * @param storedTokens shared tokens that it can fetch from a store
     * @param expectedMillis the expected delay in milliseconds
     */
    public record Choice(UpstreamServer server, int unreadTokens, int rank, int storedTokens, long expectedMillis) {
        /**
         * Returns the choice of a server of a plain service.
         *
         * @param server the server
         * @return the choice
         */
        public static Choice plain(UpstreamServer server) {
            return new Choice(server, 0, 0, 0, 0);
        }
    }

    /**
     * Which upstreams a request may go to.
     *
     * @param excluded incarnations that it has been sent to already
     * @param preferred tells which upstreams are taken as long as one of them is available
     * @param available tells whether an upstream should get a request now
     * @param load the work of all nodes in flight at an upstream
     * @param storedTokens shared tokens that an engine can fetch from a store, for its weight version
     * @param penaltyMillis delay by which an upstream counts as worse, in milliseconds
     */
    public record Candidates(
            Set<String> excluded,
            Predicate<UpstreamServer> preferred,
            Predicate<UpstreamServer> available,
            Function<UpstreamServer, FleetLoads.Load> load,
            ToIntFunction<UpstreamServer> storedTokens,
            ToLongFunction<UpstreamServer> penaltyMillis) {
        private List<UpstreamServer> open(List<UpstreamServer> servers) {
            List<UpstreamServer> open = new ArrayList<>();
            for (UpstreamServer server : servers) {
                if (!excluded.contains(server.incarnation()) && available.test(server)) {
                    open.add(server);
                }
            }
            List<UpstreamServer> best = open.stream().filter(preferred).toList();
            return best.isEmpty() ? open : best;
        }
    }

    /**
     * Chooses the engine with the least expected delay.
     *
     * @param prompt the prompt
     * @param servers the engines of the service that take new work
     * @param candidates which of them may be taken
     * @return the engine, or empty if none has room, so that the request waits
     */
    public static Optional<Choice> engine(Prompt prompt, List<UpstreamServer> servers, Candidates candidates) {
        List<UpstreamServer> open = candidates.open(servers);
        List<UpstreamServer> order = Rendezvous.top(prompt.key(), open, UpstreamServer::address, open.size());
        Choice best = null;
        double bestMillis = Double.MAX_VALUE;
        for (int rank = 0; rank < order.size(); rank++) {
            UpstreamServer server = order.get(rank);
            FleetLoads.Load load = candidates.load().apply(server);
            if (!hasRoom(prompt, load, server.slots())) {
                continue;
            }
            int missing = rank == 0 ? 0 : prompt.sharedTokens();
            int storable = candidates.storedTokens().applyAsInt(server);
            int stored = Math.min(missing, storable);
            Work work = new Work(prompt.ownTokens(), stored, missing - stored);
            double millis =
                    expectedMillis(work, load) + candidates.penaltyMillis().applyAsLong(server);
            if (millis < bestMillis) {
                bestMillis = millis;
                best = new Choice(server, work.ownTokens() + work.readAgainTokens(), rank, storable, (long) millis);
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Chooses the engine at which room is kept for a prompt that waits. Without it a long prompt waits for as long as
     * shorter ones keep taking the room that becomes free.
     *
     * @param prompt the prompt
     * @param servers the engines of the service that take new work
     * @param candidates which of them may be taken
     * @return the engine with the least work, or empty for a prompt that is not among the largest
     */
    public static Optional<UpstreamServer> booking(Prompt prompt, List<UpstreamServer> servers, Candidates candidates) {
        if (prompt.tokens() < BOOKING_SHARE * prompt.capacityTokens()) {
            return Optional.empty();
        }
        return candidates.open(servers).stream()
                .min(Comparator.comparingLong(
                        server -> candidates.load().apply(server).tokens()));
    }

    /**
     * Tells whether an engine has room for a prompt.
     *
     * @param prompt the prompt
     * @param load the work in flight there
     * @param slots requests that the engine runs at once
     * @return true if the prompt would neither displace others nor wait long there
     */
    static boolean hasRoom(Prompt prompt, FleetLoads.Load load, int slots) {
        if (load.requests() == 0) {
            return true;
        }
        double size = prompt.tokens() / (LONG_PROMPT_SHARE * Math.max(1, prompt.capacityTokens()));
        double longness = Math.min(1, size);
        double share = MEMORY_SHARE - SHORT_PROMPTS_SHARE * longness;
        double backlog = SHORT_BACKLOG_TOKENS + longness * (LONG_BACKLOG_TOKENS - SHORT_BACKLOG_TOKENS);
        return load.requests() < slots
                && load.tokens() + prompt.tokens() <= share * prompt.capacityTokens()
                && load.unreadTokens() <= backlog;
    }

    /**
     * What a prompt means for one engine.
     *
     * @param ownTokens tokens that only this request has
     * @param fetchedTokens shared tokens that come from a store
     * @param readAgainTokens shared tokens that the engine has to read
     */
    record Work(int ownTokens, int fetchedTokens, int readAgainTokens) {}

    /**
     * Returns the delay that a request is expected to meet and to cause.
     *
     * @param work what the prompt means for the engine
     * @param load the work in flight there
     * @return the delay in milliseconds
     */
    static double expectedMillis(Work work, FleetLoads.Load load) {
        double reading = (load.unreadTokens() + work.ownTokens() + work.readAgainTokens()) / READ_TOKENS_PER_MILLI;
        return reading
                + work.fetchedTokens() / FETCH_TOKENS_PER_MILLI
                + work.readAgainTokens() * READ_AGAIN_MILLIS_PER_TOKEN
                + load.requests() * REQUEST_MILLIS;
    }

    /**
     * Chooses a server of a plain service: the one with the least work, at equal work one in the node's data centre.
     *
     * @param key what breaks ties
     * @param dataCentre the node's data centre
     * @param servers the servers of the service that take new work
     * @param candidates which of them may be taken
     * @return the server, or empty if none should get a request now
     */
    public static Optional<UpstreamServer> plain(
            String key, String dataCentre, List<UpstreamServer> servers, Candidates candidates) {
        List<UpstreamServer> open = candidates.open(servers);
        return Rendezvous.top(key, open, UpstreamServer::id, open.size()).stream()
                .min(Comparator.comparingInt((UpstreamServer server) ->
                                candidates.load().apply(server).requests())
                        .thenComparing(server -> !server.dataCentre().equals(dataCentre)));
    }
}
