package org.cowslipbank.decision.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The epoch of each cache store, and since when this node knows it. A store that restarts has a new epoch and no parts. This
 * knowledge outlasts the index of a store, so that a store which was merely out of reach counts as known. Confined to the
 * traffic thread.
 */
final class StoreEpochs {
    /**
     * An epoch.
     *
     * @param epoch its number
     * @param sinceMillis a time at which the store was already in it, in milliseconds on this node's clock
     * @param sinceClockMillis the upstreams' clock in the first answer that this node has of it, in milliseconds; empty if the
     *     answer did not state it
     */
    private record Known(long epoch, long sinceMillis, OptionalLong sinceClockMillis) {}

    private final Map<String, Known> knownByAddress = new HashMap<>();

    /**
     * Records the epoch of an answer.
     *
     * @param address the store's address
     * @param epoch the epoch
     * @param atMillis a time at which the store was already in it, in milliseconds
     * @param clockMillis the upstreams' clock in the answer, in milliseconds; empty if not stated
     */
    void onAnswer(String address, long epoch, long atMillis, OptionalLong clockMillis) {
        if (!isKnown(address, epoch)) {
            knownByAddress.put(address, new Known(epoch, atMillis, clockMillis));
        }
    }

    /**
     * Records that another node has known the present epoch for longer.
     *
     * @param address the store's address
     * @param epoch the epoch; ignored if this node knows another one
     * @param sinceMillis a time at which the store was already in it, in milliseconds
     */
    void onKnownElsewhere(String address, long epoch, long sinceMillis) {
        if (isKnown(address, epoch)) {
            Known known = knownByAddress.get(address);
            knownByAddress.put(
                    address, new Known(epoch, Math.min(known.sinceMillis(), sinceMillis), known.sinceClockMillis()));
        }
    }

    /**
     * Forgets the epoch of a store that has restarted under the same number.
     *
     * @param address the store's address
     */
    void forget(String address) {
        knownByAddress.remove(address);
    }

    /**
     * Returns whether an answer is of an epoch before the one that this node knows.
     *
     * @param address the store's address
     * @param epoch the epoch of the answer
     * @param clockMillis the upstreams' clock when the store gave it, in milliseconds; empty if not stated
     * @return false for the epoch that this node knows, and where the clocks do not tell
     */
    boolean isOutdated(String address, long epoch, OptionalLong clockMillis) {
        Known known = knownByAddress.get(address);
        return known != null
                && known.epoch() != epoch
                && clockMillis.isPresent()
                && known.sinceClockMillis().isPresent()
                && clockMillis.getAsLong() < known.sinceClockMillis().getAsLong();
    }

    /**
     * Returns how long a store has had its epoch, as far as this node knows.
     *
     * @param address the store's address
     * @param nowMillis the time in milliseconds
     * @return the time in milliseconds, empty if no epoch is known
     */
    OptionalLong knownMillis(String address, long nowMillis) {
        Known known = knownByAddress.get(address);
        return known == null ? OptionalLong.empty() : OptionalLong.of(nowMillis - known.sinceMillis());
    }

    /**
     * Removes stores that are no longer configured.
     *
     * @param addresses addresses of the configured stores
     */
    void retain(Set<String> addresses) {
        knownByAddress.keySet().retainAll(addresses);
    }

    private boolean isKnown(String address, long epoch) {
        Known known = knownByAddress.get(address);
        return known != null && known.epoch() == epoch;
    }
}
