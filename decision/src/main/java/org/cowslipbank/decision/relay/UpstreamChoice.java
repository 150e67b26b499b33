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
 * Chooses the upstream of a request.
 *
 * <p>An engine's memory holds about eight long prompts at once, and a shared part that is read a second time costs more
 * of its time than everything else. So each shared part has a home engine, which all nodes compute alike, and a request
 * leaves it only when the expected delay there exceeds that of fetching or reading the part elsewhere. The load pattern
 * is a burst on few parts while one engine in four is gone.
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

    /** Share of an engine's memory up to which requests do not displace each other. */
    static final double CALM_MEMORY_SHARE = 0.65;

    /** Delay by which a completely full memory counts; displaced requests are read again from the start. */
    static final double FULL_MEMORY_MILLIS = 2_500;

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
     */
    public record Choice(UpstreamServer server, int unreadTokens) {}

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
     * @return the engine, or empty if none should get a request now
     */
    public static Optional<Choice> engine(Prompt prompt, List<UpstreamServer> servers, Candidates candidates) {
        List<UpstreamServer> open = candidates.open(servers);
        List<UpstreamServer> order = Rendezvous.top(prompt.key(), open, UpstreamServer::address, open.size());
        Choice best = null;
        double bestMillis = Double.MAX_VALUE;
        for (int rank = 0; rank < order.size(); rank++) {
            UpstreamServer server = order.get(rank);
            int missing = rank == 0 ? 0 : prompt.sharedTokens();
            int stored = Math.min(missing, candidates.storedTokens().applyAsInt(server));
            Work work = new Work(prompt.tokens(), prompt.ownTokens(), stored, missing - stored);
            double millis =
                    expectedMillis(work, candidates.load().apply(server), server.slots(), prompt.capacityTokens())
                            + candidates.penaltyMillis().applyAsLong(server);
            if (millis < bestMillis) {
                bestMillis = millis;
                best = new Choice(server, work.ownTokens() + work.readAgainTokens());
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * What a prompt means for one engine.
     *
     * @param tokens tokens of the prompt
     * @param ownTokens tokens that only this request has
     * @param fetchedTokens shared tokens that come from a store
     * @param readAgainTokens shared tokens that the engine has to read
     */
    record Work(int tokens, int ownTokens, int fetchedTokens, int readAgainTokens) {}

    /**
     * Returns the delay that a request is expected to meet and to cause.
     *
     * @param work what the prompt means for the engine
     * @param load the work in flight there
     * @param slots requests that the engine runs at once
     * @param capacityTokens tokens that fit into its memory
     * @return the delay in milliseconds
     */
    static double expectedMillis(Work work, FleetLoads.Load load, int slots, long capacityTokens) {
        double reading = (load.unreadTokens() + work.ownTokens() + work.readAgainTokens()) / READ_TOKENS_PER_MILLI;
        double memory = (load.tokens() + work.tokens()) / (double) Math.max(1, capacityTokens);
        double crowding = Math.max(0, memory - CALM_MEMORY_SHARE) / (1 - CALM_MEMORY_SHARE) * FULL_MEMORY_MILLIS;
        double waiting = load.requests() >= slots ? FULL_MEMORY_MILLIS : 0;
        return reading
                + work.fetchedTokens() / FETCH_TOKENS_PER_MILLI
                + work.readAgainTokens() * READ_AGAIN_MILLIS_PER_TOKEN
                + crowding
                + waiting
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
