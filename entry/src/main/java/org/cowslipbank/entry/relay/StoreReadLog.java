package org.cowslipbank.entry.relay;

import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.ports.relay.MetadataStore.Changes;
import org.cowslipbank.ports.relay.MetadataStore.Range;

/** Logs what a confirmation of the configuration rests on: readings of the metadata store, and watches out of the usual. */
final class StoreReadLog {
    /** Number of changes from which the answer of a watch leaves a line. */
    static final int MANY_CHANGES = 20;

    private final DecisionLog log;

    StoreReadLog(DecisionLog log) {
        this.log = log;
    }

    /**
     * Logs a reading of all items, after it was applied.
     *
     * @param range the reading
     * @param view what is known now
     * @param eraMarked whether the store's era is marked as complete
     * @param settled whether the store counts as complete
     * @param millis how long the reading took
     */
    void onReading(Range range, PlatformView view, boolean eraMarked, boolean settled, long millis) {
        LogFields line = LogFields.event("all items of the metadata store read")
                .field("storeRevision", range.revision())
                .field("knownRevision", view.revision())
                .field("era", range.era())
                .field("eraMarked", eraMarked)
                .field("settled", settled)
                .field("items", range.items().size())
                .field("millis", millis);
        view.routes()
                .ifPresent(routes -> line.field(
                        "configurationVersion", routes.configuration().version()));
        log.logState(line);
    }

    /**
     * Logs the answer of a watch with many changes, or one that says less than it should; others are too many.
     *
     * @param afterRevision the watched revision
     * @param changes the answer
     * @param waitMillis the wait that was asked for
     * @param millis how long the answer took
     */
    void onWatch(long afterRevision, Changes changes, long waitMillis, long millis) {
        int count = changes.items().size();
        long lastRevision =
                count == 0 ? afterRevision : changes.items().get(count - 1).revision();
        String event;
        if (lastRevision < changes.revision()) {
            event = "watch ended below the revision of the metadata store";
        } else if (count == 0 && millis < waitMillis) {
            event = "watch without changes ended before its wait";
        } else if (count >= MANY_CHANGES) {
            event = "watch returned many changes";
        } else {
            return;
        }
        log.logRequest(LogFields.event(event)
                .field("afterRevision", afterRevision)
                .field("lastRevision", lastRevision)
                .field("storeRevision", changes.revision())
                .field("changes", count)
                .field("waitMillis", waitMillis)
                .field("millis", millis));
    }
}
