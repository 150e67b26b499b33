package org.cowslipbank.entry.relay;

import java.util.Map;
import java.util.OptionalLong;

import org.cowslipbank.model.BoundedMap;
import org.cowslipbank.model.relay.PlatformRecord;

/**
 * The newest registration of each upstream that was seen, also of those that have left. A registration may be read after
 * a newer one of the same incarnation: from a restored copy of the metadata store, or because an upstream's write took
 * effect late. Owned by the control thread.
 */
final class RegistrationHistory {
    /** Upstreams that are remembered; the ones that were seen first are forgotten. */
    static final int MAX_UPSTREAMS = 4_000;

    private final Map<String, Seen> newestById = BoundedMap.byAddition(MAX_UPSTREAMS);

    /** Number of the newest heartbeat seen of an incarnation. */
    private record Seen(long startedAtMillis, long sequence) {}

    /**
     * Records a registration.
     *
     * @param registered the registration
     * @param isKnown true if the upstream is registered at present, as far as this node knows
     * @return false if it is older than another one of the same incarnation, or the last one of an incarnation whose
     *     registration has been removed since
     */
    boolean isNew(PlatformRecord.Registered registered, boolean isKnown) {
        OptionalLong sequence = registered.sequence();
        if (sequence.isEmpty()) {
            return true;
        }
        String id = registered.server().id();
        Seen seen = newestById.get(id);
        boolean sameIncarnation =
                seen != null && seen.startedAtMillis() == registered.server().startedAtMillis();
        if (sameIncarnation
                && (sequence.getAsLong() < seen.sequence() || !isKnown && sequence.getAsLong() == seen.sequence())) {
            return false;
        }
        newestById.put(id, new Seen(registered.server().startedAtMillis(), sequence.getAsLong()));
        return true;
    }
}
