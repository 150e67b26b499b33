package org.cowslipbank.decision.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The software versions of the upstreams at which streams may have begun: those that are registered, those that were a
 * short while ago, and those of which the metadata store has a record.
 *
 * <p>A node that starts knows nothing from before, and the upstreams of a version may have left while no node ran. So a
 * version is recorded in the store before the first stream begins there, and its record is removed only when its last
 * stream can no longer be taken up. A stream may go on at the only version that is left in this sense. The records carry no
 * lease, since leases may end early in an outage of the store.
 *
 * <p>A record is removed under the condition of its revision, by a node whose knowledge of the registrations may be
 * {@link #MAX_KNOWLEDGE_AGE_MILLIS} old. So a version whose upstreams come back after a long absence has its record
 * rewritten before streams begin there. Either a removal on its way then finds another revision, or the rewriting finds the
 * record removed, and it is written anew. Thread-safe: used by the traffic thread and the control thread.
 */
public final class SoftwareVersions {
    /**
     * Age from which on the knowledge of the registrations is too old to remove a record or to mark an era. Far below the
     * life of a stream, and as long as a node accepts API keys without a confirmation.
     */
    public static final long MAX_KNOWLEDGE_AGE_MILLIS = 5_000;

    /**
     * Absence of a version after which a removal of its record may be on its way. A removal needs an absence of the life of
     * a stream, of which the node that removes may not know the end; as much again is left for clocks that differ and for
     * registrations that are kept for 2 s after an outage.
     */
    static final long SHORT_ABSENCE_MILLIS = StreamOrigins.STREAM_LIFE_MILLIS - 2 * MAX_KNOWLEDGE_AGE_MILLIS;

    private final Map<String, Versions> byService = new HashMap<>();
    private OptionalLong confirmedMillis = OptionalLong.empty();

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
        /** Revisions of the records; a lower bound for those that another node has just written. */
        private final Map<String, Long> recorded = new HashMap<>();
        /** Revisions of records that are not to be relied on, because a removal may be conditional on them. */
        private final Map<String, Long> outdatedRecords = new HashMap<>();
        /** For versions that are not registered, when they were last known to be. */
        private final Map<String, Long> confirmedMillis = new HashMap<>();
        /** Versions that have had a record. Streams go on beginning there while one that the store lost is written again. */
        private final Set<String> everRecorded = new HashSet<>();

        private final Map<String, Long> lastSeenMillis = new HashMap<>();

        private Set<String> live(long nowMillis) {
            Set<String> live = new HashSet<>(registered);
            live.addAll(recorded.keySet());
            lastSeenMillis.forEach((version, seenMillis) -> {
                if (nowMillis - seenMillis < StreamOrigins.STREAM_LIFE_MILLIS) {
                    live.add(version);
                }
            });
            return live;
        }

        private boolean wasAwayBriefly(String version, long nowMillis) {
            Long knownMillis = confirmedMillis.get(version);
            return knownMillis != null && nowMillis - knownMillis < SHORT_ABSENCE_MILLIS;
        }

        private void rewriteRecord(String version) {
            Long revision = recorded.get(version);
            if (revision != null) {
                outdatedRecords.put(version, revision);
            }
        }

        private void onRecorded(String version, long revision, long nowMillis) {
            long known = recorded.getOrDefault(version, Long.MIN_VALUE);
            everRecorded.add(version);
            if (revision <= known) {
                return;
            }
            recorded.put(version, revision);
            // Its upstreams may have left just before this node learnt of it.
            lastSeenMillis.put(version, nowMillis);
            if (revision > outdatedRecords.getOrDefault(version, Long.MAX_VALUE)) {
                outdatedRecords.remove(version);
            }
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
     * Returns whether knowledge of the registrations is recent enough to remove a record or to mark an era.
     *
     * @param ageMillis time in milliseconds since the metadata store was known to have nothing newer
     * @return true if it is
     */
    public static boolean isRecent(long ageMillis) {
        return ageMillis < MAX_KNOWLEDGE_AGE_MILLIS;
    }

    /**
     * Records that what is known of the registrations and records was the newest state. Called after the changes until then
     * were recorded.
     *
     * @param atMillis the time in milliseconds for which that holds
     * @param missedMillis time in milliseconds since the previous confirmation, zero if there was none
     */
    public synchronized void onConfirmed(long atMillis, long missedMillis) {
        confirmedMillis = OptionalLong.of(atMillis);
        if (missedMillis >= SHORT_ABSENCE_MILLIS) {
            // Registered versions may have been away in between.
            byService.values().forEach(versions -> versions.registered.forEach(versions::rewriteRecord));
        }
    }

    /**
     * Sets the versions of a service whose upstreams are registered.
     *
     * @param service the service
     * @param registered by version, a revision of the store since which upstreams of it have been registered
     * @param nowMillis the time in milliseconds
     * @return true if the versions differ from what was known
     */
    public synchronized boolean onRegistered(String service, Map<String, Long> registered, long nowMillis) {
        Versions versions = of(service);
        if (versions.registered.equals(registered.keySet())) {
            return false;
        }
        versions.registered.forEach(version -> {
            versions.lastSeenMillis.put(version, nowMillis);
            confirmedMillis.ifPresent(millis -> versions.confirmedMillis.put(version, millis));
        });
        registered.forEach((version, sinceRevision) -> {
            boolean recorded = versions.recorded.getOrDefault(version, Long.MAX_VALUE) > sinceRevision;
            if (!recorded && !versions.registered.contains(version) && !versions.wasAwayBriefly(version, nowMillis)) {
                versions.rewriteRecord(version);
            }
        });
        versions.registered = Set.copyOf(registered.keySet());
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
     * @param revision the record's revision
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onRecorded(Version version, long revision, long nowMillis) {
        of(version.service()).onRecorded(version.softwareVersion(), revision, nowMillis);
    }

    /**
     * Records that a record could not be created, because another node has just written it.
     *
     * @param version the version
     * @param nowMillis the time in milliseconds
     */
    public synchronized void onRecordedByAnother(Version version, long nowMillis) {
        Versions versions = of(version.service());
        // Its revision is not known yet, but later than that of the record before it.
        long lowerBound = versions.outdatedRecords.getOrDefault(version.softwareVersion(), 0L) + 1;
        versions.onRecorded(version.softwareVersion(), lowerBound, nowMillis);
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
            versions.outdatedRecords.remove(version.softwareVersion());
        }
    }

    /**
     * Records that the metadata store was read as a whole, so that what it does not hold has gone.
     *
     * @param present the versions of which it has a record, with its revision
     * @param lostChanges true if the store has lost changes, so that records are written again; else nodes removed them
     */
    public synchronized void onAllRecordsRead(Map<Version, Long> present, boolean lostChanges) {
        byService.forEach((service, versions) -> {
            for (Map.Entry<String, Long> recorded :
                    Map.copyOf(versions.recorded).entrySet()) {
                Version version = new Version(service, recorded.getKey());
                Long revision = present.get(version);
                if (revision != null) {
                    versions.recorded.put(recorded.getKey(), revision);
                    if (revision < recorded.getValue()) {
                        // A node that has not seen the later revision may remove the earlier one.
                        versions.rewriteRecord(recorded.getKey());
                    }
                } else if (lostChanges) {
                    versions.recorded.remove(recorded.getKey());
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
        Versions versions = of(service);
        return versions.everRecorded.contains(softwareVersion)
                && !versions.outdatedRecords.containsKey(softwareVersion);
    }

    /**
     * Returns the versions whose record has to be written.
     *
     * @param nowMillis the time in milliseconds
     * @return the versions without a record, or with one to be rewritten, that are registered or have not expired
     */
    public synchronized List<Version> unrecorded(long nowMillis) {
        List<Version> unrecorded = new ArrayList<>();
        byService.forEach((service, versions) -> {
            Set<String> needed = new HashSet<>(versions.everRecorded);
            needed.removeIf(version -> versions.hasExpired(version, nowMillis));
            needed.addAll(versions.registered);
            needed.removeIf(version ->
                    versions.recorded.containsKey(version) && !versions.outdatedRecords.containsKey(version));
            needed.forEach(version -> unrecorded.add(new Version(service, version)));
        });
        return unrecorded;
    }

    /**
     * Returns the revision of a version's record.
     *
     * @param version the version
     * @return the revision, or empty if no record is known
     */
    public synchronized OptionalLong recordRevision(Version version) {
        Long revision = of(version.service()).recorded.get(version.softwareVersion());
        return revision == null ? OptionalLong.empty() : OptionalLong.of(revision);
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
