package org.cowslipbank.entry.relay;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.cowslipbank.decision.relay.ColdPeriods;
import org.cowslipbank.decision.relay.ColdUpstreams;
import org.cowslipbank.decision.relay.Evacuations;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.ColdLimit;
import org.cowslipbank.model.relay.PlatformRecord;
import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Upstreams that get no requests, or few, by what the metadata store tells: those of evacuated data centres and cold ones.
 * Logs the evacuations. Owned by the control thread.
 */
final class PlacementRestrictions {
    private final Evacuations evacuations = new Evacuations();
    private final ColdPeriods coldPeriods;
    private final DecisionLog log;

    /**
     * Creates an object without restrictions.
     *
     * @param wallMillis returns the time of day in Unix milliseconds
     * @param log the structured log
     */
    PlacementRestrictions(LongSupplier wallMillis, DecisionLog log) {
        this.coldPeriods = new ColdPeriods(wallMillis);
        this.log = log;
    }

    /**
     * Applies a request for an evacuation, or its removal.
     *
     * @param evacuation the item
     * @param revision revision of the change
     * @param nowMillis the time in milliseconds
     */
    void onEvacuation(PlatformRecord.Evacuation evacuation, long revision, long nowMillis) {
        String dataCentre = evacuation.dataCentre();
        if (!evacuation.requested()) {
            if (evacuations.onRemoved(dataCentre, revision, nowMillis)) {
                logEnded(List.of(dataCentre), revision);
            }
        } else if (evacuations.onRequested(dataCentre, revision, nowMillis)) {
            logChange("data centre is evacuated", dataCentre, revision);
        }
    }

    /**
     * Called before the items of a complete reading are applied.
     *
     * @param writesLost true if the store may lack writes that were acknowledged
     * @param nowMillis the time in milliseconds
     */
    void onReadingBegun(boolean writesLost, long nowMillis) {
        evacuations.onReadingBegun(writesLost, nowMillis);
    }

    /**
     * Called after all items of a complete reading were applied.
     *
     * @param revision the revision of the reading
     * @param nowMillis the time in milliseconds
     */
    void onReadingEnded(long revision, long nowMillis) {
        logEnded(evacuations.onReadingEnded(revision, nowMillis), revision);
    }

    /**
     * Ends evacuations that a restored store lacks and that were not requested again.
     *
     * @param revision revision up to which changes are applied
     * @param nowMillis the time in milliseconds
     * @return true if there were any
     */
    boolean dropExpired(long revision, long nowMillis) {
        List<String> ended = evacuations.dropExpired(revision, nowMillis);
        logEnded(ended, revision);
        return !ended.isEmpty();
    }

    private void logEnded(List<String> dataCentres, long revision) {
        dataCentres.forEach(dataCentre -> logChange("evacuation of data centre has ended", dataCentre, revision));
    }

    private void logChange(String event, String dataCentre, long revision) {
        log.logState(LogFields.event(event).field("dataCentre", dataCentre).field("storeRevision", revision));
    }

    /**
     * Sets the limits of the services for cold upstreams.
     *
     * @param limits the limits by service
     */
    void setColdLimits(Map<String, ColdLimit> limits) {
        coldPeriods.setLimits(limits);
    }

    /**
     * Applies a registration or a heartbeat.
     *
     * @param registered the registration
     * @param revision its revision
     * @param firstReading true if this node reads the store for the first time
     * @param nowMillis the time in milliseconds
     * @return true if the end of the upstream's cold period has changed
     */
    boolean onRegistered(PlatformRecord.Registered registered, long revision, boolean firstReading, long nowMillis) {
        return coldPeriods.onRegistered(
                new ColdPeriods.Registration(registered.server(), registered.coldRemainingMillis(), revision),
                firstReading,
                evacuations.recentlyEnded(),
                nowMillis);
    }

    /**
     * Returns the evacuated data centres.
     *
     * @return their names
     */
    Set<String> evacuated() {
        return evacuations.dataCentres();
    }

    /**
     * Returns until when upstreams are cold.
     *
     * @param servers the upstreams that accept requests, by service
     * @return what placement has to know
     */
    ColdUpstreams.Known cold(Collection<List<UpstreamServer>> servers) {
        return coldPeriods.known(servers, evacuations.recentlyEnded());
    }
}
