package org.cowslipbank.ports.relay;

import java.util.Optional;

import org.cowslipbank.ports.relay.EngineControl.CacheChanges;

/** The format in which nodes pass changes of a cache store on to other nodes; it is that of the store itself. */
public interface CacheWire {
    /**
     * A question for changes.
     *
     * @param store name of the store
     * @param since where the last answer said to go on, zero at first
     * @param waitMillis the longest wait in milliseconds
     */
    record Query(String store, long since, long waitMillis) {}

    /**
     * Returns the address under which a node answers for a store; {@link EngineControl#cacheChanges} takes it.
     *
     * @param node address of the node as {@code IP:port}
     * @param store name of the store
     * @return the address
     */
    String address(String node, String store);

    /**
     * Decodes a question.
     *
     * @param target path and query
     * @return the question, or empty if it is none; its wait is not in the target
     */
    Optional<Query> decode(String target);

    /**
     * Encodes an answer.
     *
     * @param changes the changes
     * @return the body, JSON
     */
    byte[] encode(CacheChanges changes);
}
