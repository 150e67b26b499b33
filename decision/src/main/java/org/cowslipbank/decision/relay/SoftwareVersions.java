package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The software versions of the upstreams at which streams may have begun: those that are registered, those that were a
 * short while ago, and those of which the metadata store has a record.
 *
 * <p>A node that starts knows nothing from before, and the upstreams of a version may have left while no node ran. So a
 * version is recorded in the store before the first stream begins there, and its record is removed only when its last
 * stream can no longer be taken up. A stream may go on at the only version that is left in this sense. The records carry no
 * lease, since leases may end early in an outage of the store. Thread-safe: used by the traffic thread and the control
 * thread.
 */
public final class SoftwareVersions {
    private final Map<String, Versions> byService = new HashMap<>();

    /**
     * A software version of the upstreams of one service.
     *
     * @param service the service
     * @param softwareVersion the version
     */
    public record Version(String service, String softwareVersion) {}

    /** The versions of one service. */
    private static final class Versions {
        private Set<String> registered = Set.of();
        private final Set<String> recorded = new HashSet<>();
        /** Versions that have had a record. Streams go on beginning there while one that the store lost is written again. */
        private final Set<String> everRecorded = new HashSet<>();

        private final Map<String, Long> lastSeenMillis = new HashMap<>();

        private Set<String> live(long nowMillis) {
            Set<String> live = new HashSet<>(registered);
            live.addAll(recorded);
            lastSeenMillis.forEach((version, seenMillis) -> {
                if (nowMillis - seenMillis < StreamOrigins.STREAM_LIFE_MILLIS) {
                    live.add(version);
                }
            });
            return live;
        }

        private boolean hasExpired(String version, long nowMillis) {
            return !registered.contains(version)
                    && nowMillis - lastSeenMillis.getOrDefault(version, nowMillis) >= StreamOrigins.STREAM_LIFE_MILLIS;
        }
    }

    private Versions of(String service) {
        return byService.computeIfAbsent(service, key -> new Versions());
    }

    /**
     * Sets the versions of a service whose upstreams are registered.
     *
     * @param service the service
     * @param registered the versions
     * @param nowMillis the time in milliseconds
     * @return true if they differ from what was known
     */
    public synchronized boolean onRegistered(String service, Set<String> registered, long nowMillis) {
        Versions versions = of(service);
        if (versions.registered.equals(registered)) {
            return false;
        }
        versions.registered.forEach(version -> versions.lastSeenMillis.put(version, nowMillis));
        versions.registered = Set.copyOf(registered);
        return true;
    }

    /**
     * Records that a stream was at a version, as far as this node knows.
     *
     * @param version the version
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onUsed(Version version, long nowMillis) {
        of(version.service()).lastSeenMillis.put(version.softwareVersion(), nowMillis);
    }

    /**
     * Records that the metadata store has a record of a version.
     *
     * @param version the version
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onRecorded(Version version, long nowMillis) {
        Versions versions = of(version.service());
        if (versions.recorded.add(version.softwareVersion())) {
            // Its upstreams may have left just before this node learnt of it.
            versions.lastSeenMillis.put(version.softwareVersion(), nowMillis);
        }
        versions.everRecorded.add(version.softwareVersion());
    }

    /**
     * Records that a node has removed the record of a version.
     *
     * @param version the version
     */
    public synchronized void onRecordRemoved(Version version) {
        Versions versions = of(version.service());
        versions.recorded.remove(version.softwareVersion());
        if (!versions.registered.contains(version.softwareVersion())) {
            versions.everRecorded.remove(version.softwareVersion());
        }
    }

    /**
     * Records that the metadata store was read as a whole, so that what it does not hold has gone.
     *
     * @param present the versions of which it has a record
     * @param lostChanges true if the store has lost changes, so that records are written again; else nodes removed them
     */
    public synchronized void onAllRecordsRead(Set<Version> present, boolean lostChanges) {
        byService.forEach((service, versions) -> {
            for (String recorded : List.copyOf(versions.recorded)) {
                Version version = new Version(service, recorded);
                if (present.contains(version)) {
                    continue;
                }
                if (lostChanges) {
                    versions.recorded.remove(recorded);
                } else {
                    onRecordRemoved(version);
                }
            }
        });
    }

    /**
     * Returns whether a stream may begin at a version.
     *
     * @param service the service
     * @param softwareVersion the version
     * @return false as long as a node that starts might not learn of the version
     */
    public synchronized boolean mayBegin(String service, String softwareVersion) {
        return of(service).everRecorded.contains(softwareVersion);
    }

    /**
     * Returns the versions that need a record.
     *
     * @param nowMillis the time in milliseconds
     * @return the versions without a record that are registered, or whose record was lost too early
     */
    public synchronized List<Version> unrecorded(long nowMillis) {
        List<Version> unrecorded = new ArrayList<>();
        byService.forEach((service, versions) -> {
            Set<String> needed = new HashSet<>(versions.everRecorded);
            needed.removeIf(version -> versions.hasExpired(version, nowMillis));
            needed.addAll(versions.registered);
            needed.removeAll(versions.recorded);
            needed.forEach(version -> unrecorded.add(new Version(service, version)));
        });
        return unrecorded;
    }

    /**
     * Returns whether the record of a version is no longer needed.
     *
     * @param version the version
     * @param nowMillis the time in milliseconds
     * @return true if no upstream has had the version, and no stream was there, for the life of a stream
     */
    public synchronized boolean hasExpired(Version version, long nowMillis) {
        return of(version.service()).hasExpired(version.softwareVersion(), nowMillis);
    }

    /**
     * Returns the services of which upstreams or records are known.
     *
     * @return the services
     */
    public synchronized Set<String> services() {
        return Set.copyOf(byService.keySet());
    }

    /**
     * Returns the versions of a service at which a stream that may still be taken up can have begun.
     *
     * @param service the service
     * @param nowMillis the time in milliseconds
     * @return the versions, empty before any upstream is known
     */
    synchronized Set<String> live(String service, long nowMillis) {
        Versions versions = byService.get(service);
        return versions == null ? Set.of() : versions.live(nowMillis);
    }
}
