package org.cowslipbank.entry.relay;

import java.util.Map;
import java.util.OptionalLong;

import org.cowslipbank.model.BoundedMap;
import org.cowslipbank.model.relay.PlatformRecord;
import org.cowslipbank.model.relay.StoreItem;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * The newest registration of each upstream that was seen, also of those that have left. A registration may be read after
 * a newer one of the same incarnation: from a restored copy of the metadata store, or because an upstream's write took
 * effect late. Owned by the control thread.
 */
final class RegistrationHistory {
    /** Upstreams that are remembered; the ones that were seen first are forgotten. */
    static final int MAX_UPSTREAMS = 4_000;

    private final Map<String, Seen> newestById = BoundedMap.byAddition(MAX_UPSTREAMS);

    /** By incarnation, since when it has been registered at its software version. */
    private final Map<String, Since> sinceByIncarnation = BoundedMap.byAddition(MAX_UPSTREAMS);

    /** Number of the newest heartbeat seen of an incarnation, and its revision in the store. */
    private record Seen(long startedAtMillis, long sequence, long revision) {}

    /** Revision since which a software version has been registered under a key that was created at a revision. */
    private record Since(String softwareVersion, long createRevision, long revision) {}

    /**
     * Records a registration.
     *
     * @param registered the registration
     * @param revision revision of its item; a reading of several pages may have brought the same one before
     * @param isKnown true if the upstream is registered at present, as far as this node knows
     * @return false if it is older than another one of the same incarnation, or the last one of an incarnation whose
     *     registration has been removed since
     */
    boolean isNew(PlatformRecord.Registered registered, long revision, boolean isKnown) {
        OptionalLong sequence = registered.sequence();
        if (sequence.isEmpty()) {
            return true;
        }
        String id = registered.server().id();
        Seen seen = newestById.get(id);
        boolean sameIncarnation =
                seen != null && seen.startedAtMillis() == registered.server().startedAtMillis();
        if (sameIncarnation && sequence.getAsLong() < seen.sequence()) {
            return false;
        }
        boolean sameItem = sameIncarnation && revision == seen.revision();
        if (sameIncarnation && !isKnown && sequence.getAsLong() == seen.sequence() && !sameItem) {
            return false;
        }
        newestById.put(id, new Seen(registered.server().startedAtMillis(), sequence.getAsLong(), revision));
        return true;
    }

    /**
     * Records the item of a registration that is taken over.
     *
     * @param server the upstream
     * @param item the item
     * @param firstReading true if this node has read nothing before; then the key's creation counts, although an upstream
     *     may have changed its software version under the same key since
     */
    void onAccepted(UpstreamServer server, StoreItem item, boolean firstReading) {
        Since known = sinceByIncarnation.get(server.incarnation());
        boolean unchanged = known != null
                && known.createRevision() == item.createRevision()
                && known.softwareVersion().equals(server.softwareVersion());
        if (!unchanged) {
            long revision = firstReading ? item.createRevision() : item.revision();
            sinceByIncarnation.put(
                    server.incarnation(), new Since(server.softwareVersion(), item.createRevision(), revision));
        }
    }

    /**
     * Returns a revision of the store since which an upstream has been registered at its software version.
     *
     * @param server the upstream
     * @return the revision, the largest number if it is not known
     */
    long sinceRevision(UpstreamServer server) {
        Since since = sinceByIncarnation.get(server.incarnation());
        return since != null && since.softwareVersion().equals(server.softwareVersion())
                ? since.revision()
                : Long.MAX_VALUE;
    }
}
