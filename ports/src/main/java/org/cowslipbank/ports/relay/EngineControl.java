package org.cowslipbank.ports.relay;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import reactor.core.publisher.Mono;

/**
 * Control calls to model engines and stores, made by the nodes themselves. Errors are of type
 * {@link org.cowslipbank.model.PeerException}.
 */
public interface EngineControl {
    /**
     * State of an engine; it may be some hundred milliseconds old.
     *
     * @param versionByModel weight version of each model
     * @param executingOrder true while the engine carries out a command
     * @param acceptedOrders number of commands accepted since the engine's start
     * @param running running requests
     * @param queued queued requests
     * @param startedAtMillis when the engine was started, in Unix milliseconds; empty if not stated
     */
    record Report(
            Map<String, Long> versionByModel,
            boolean executingOrder,
            long acceptedOrders,
            int running,
            int queued,
            OptionalLong startedAtMillis) {
        /** Makes an unmodifiable copy of the map; null keys and values are rejected with NullPointerException. */
        public Report {
            versionByModel = Map.copyOf(versionByModel);
        }
    }

    /**
     * A command to load a weight version.
     *
     * @param serverId the engine incarnation that the command is for; others refuse it
     * @param model the model
     * @param version the version
     * @param holder name of the node that sends the command
     * @param fencingToken the sender's fencing token; grows with each change of the sending node
     * @param expectedOrders number of commands that the engine must have accepted before; another number is a conflict
     * @param keepsRuns true if current runs continue with the new weights; false if the engine finishes them first
     */
    record VersionCommand(
            String serverId,
            String model,
            long version,
            String holder,
            long fencingToken,
            long expectedOrders,
            boolean keepsRuns) {}

    /** Outcome of a command. */
    enum CommandOutcome {
        /** The engine carries out the command, or already has the version. */
        ACCEPTED,
        /** The engine is carrying out another command, or the number of accepted commands differs. */
        CONFLICT,
        /** The command was refused permanently: old fencing token, other incarnation or unknown version. */
        REFUSED
    }

    /**
     * A part of a prompt that a store or an engine has added to or removed from its cache.
     *
     * @param added true if the part is stored completely, false if it was removed or truncated
     * @param scope the cache scope
     * @param partId the part's identifier
     * @param tokens number of its tokens stored after the change
     */
    record CacheChange(boolean added, String scope, String partId, int tokens) {}

    /**
     * A batch of changes of a store's or an engine's cache.
     *
     * @param epoch number of the cache's lifetime; changes with each restart
     * @param nextCursor cursor for the next call
     * @param lost true if earlier changes were missed because the peer no longer has them
     * @param clockMillis the upstreams' clock at the time of the answer, in milliseconds; empty if not stated
     * @param changes the changes in order
     */
    record CacheChanges(
            long epoch, long nextCursor, boolean lost, OptionalLong clockMillis, List<CacheChange> changes) {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public CacheChanges {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Identifies a cached part of a prompt in a store.
     *
     * @param scope the cache scope
     * @param partId the part's identifier
     */
    record CachedPart(String scope, String partId) {}

    /**
     * Parts to free, and the conditions under which a store frees them.
     *
     * @param epoch epoch of the store in which the parts were listed
     * @param untilMillis time on the upstreams' clock after which the call has no effect, in milliseconds; empty for none
     * @param parts the parts
     */
    record FreeCall(long epoch, OptionalLong untilMillis, List<CachedPart> parts) {
        /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
        public FreeCall {
            parts = List.copyOf(parts);
        }
    }

    /**
     * Reads an engine's state report.
     *
     * @param address the engine as {@code IP:port}
     * @return the report
     */
    Mono<Report> report(String address);

    /**
     * Sends a command to an engine.
     *
     * @param address the engine as {@code IP:port}
     * @param command the command
     * @return the outcome; after an error the engine may still carry out the command, even later
     */
    Mono<CommandOutcome> sendCommand(String address, VersionCommand command);

    /**
     * Waits for changes of a cache (long poll).
     *
     * @param address the store or engine as {@code IP:port}
     * @param since {@link CacheChanges#nextCursor()} of the last call, zero for the first call
     * @param waitMillis the longest wait in milliseconds
     * @return the changes
     */
    Mono<CacheChanges> cacheChanges(String address, long since, long waitMillis);

    /**
     * Frees several parts in one call.
     *
     * @param address the store as {@code IP:port}
     * @param call the parts and the conditions under which they are freed
     * @return true if they were freed, false if a condition did not hold; after an error they may still be freed, even
     *     later, unless the call has a time limit
     */
    Mono<Boolean> free(String address, FreeCall call);
}
