package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import reactor.core.publisher.Mono;

/**
 * Calls to model engines and stores beside the requests of clients. Errors are of type
 * {@link org.cowslipbank.model.PeerException}.
 */
public interface EngineControl {
    /**
     * State of an engine, some hundred milliseconds old.
     *
     * @param versionByModel weight version of each model
     * @param ordering true while an order is carried out
     * @param acceptedOrders orders accepted since the start
     * @param running requests that run
     * @param queued requests that wait
     */
    record Report(Map<String, Long> versionByModel, boolean ordering, long acceptedOrders, int running, int queued) {
        /** Copies the map. */
        public Report {
            versionByModel = Map.copyOf(versionByModel);
        }
    }

    /**
     * An order to load a weight version.
     *
     * @param serverId the incarnation that must take it
     * @param model the model
     * @param version the version
     * @param holder name of the node that gives it
     * @param fencingToken number that grows with each change of the giver
     * @param expectedOrders number of orders that the engine must have accepted before
     * @param keepsRuns true if runs go on under the new weights; false if the engine lets them finish first
     */
    record VersionOrder(
            String serverId,
            String model,
            long version,
            String holder,
            long fencingToken,
            long expectedOrders,
            boolean keepsRuns) {}

    /** Outcome of an order. */
    enum OrderOutcome {
        /** The engine carries it out, or it holds already. */
        ACCEPTED,
        /** Another order is under way, or the number of accepted orders differs. */
        CONFLICT,
        /** The order was refused for good: an old fencing token, another incarnation, an unknown version. */
        REFUSED
    }

    /**
     * A block of cache that a store has gained or lost.
     *
     * @param added true if it is there completely, false if it is gone or cut
     * @param scope the cache scope
     * @param partId the part's identifier
     * @param tokens tokens stored now
     */
    record CacheChange(boolean added, String scope, String partId, int tokens) {}

    /**
     * Changes of a store's or an engine's cache.
     *
     * @param epoch number of its lifetime
     * @param next where to go on
     * @param lost true if changes before these are no longer known
     * @param clockMillis the upstreams' clock when it answered, in milliseconds; empty if it did not say
     * @param changes the changes in order
     */
    record CacheChanges(long epoch, long next, boolean lost, OptionalLong clockMillis, List<CacheChange> changes) {
        /** Copies the list. */
        public CacheChanges {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Name of a part in a store.
     *
     * @param scope the cache scope
     * @param partId the part's identifier
     */
    record CachedPart(String scope, String partId) {}

    /**
     * Reads an engine's state.
     *
     * @param address the engine
     * @return the state
     */
    Mono<Report> report(String address);

    /**
     * Gives an order.
     *
     * @param address the engine
     * @param order the order
     * @return the outcome; an error leaves open whether it is carried out, even later
     */
    Mono<OrderOutcome> order(String address, VersionOrder order);

    /**
     * Waits for changes of a cache.
     *
     * @param address the store or engine
     * @param since where the last call said to go on, zero at first
     * @param waitMillis the longest wait in milliseconds
     * @return the changes
     */
    Mono<CacheChanges> cacheChanges(String address, long since, long waitMillis);

    /**
     * Frees parts of a store at once.
     *
     * @param address the store
     * @param epoch lifetime of the store in which they are meant
     * @param parts the parts
     * @return true if they were freed, false if the store has restarted
     */
    Mono<Boolean> free(String address, long epoch, List<CachedPart> parts);
}
