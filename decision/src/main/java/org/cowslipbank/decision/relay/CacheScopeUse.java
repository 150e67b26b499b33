package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.cowslipbank.model.relay.UpstreamServer;

/**
 * Since when cache scopes are in use or out of use, as far as this node knows without a gap. All nodes record it change by
 * change, whether they lead or not, and begin anew at a complete reading of the metadata store, before which changes may
 * have been missed. Owned by the control thread.
 *
 * <p>Two rules on it keep requests from fetching parts that another node frees, without an agreement between nodes. Let a
 * node free parts only until {@link #FREE_VALID_MILLIS} after it was confirmed that its knowledge is the newest. A fetch
 * that is still under way then was sent either by a node whose knowledge is older than that confirmation; nodes do not
 * fetch with old knowledge, so that a scope which was out of use for longer than that and a fetch together was already out
 * of use to the sender. Or the scope has come into use after that confirmation; then the sender has waited for
 * {@link #ENTRY_DELAY_MILLIS}, which is longer. It does not matter who leads, how long a call travels, or whether a process
 * is suspended. A weight version that all engines have replaced needs no such wait, since they refuse requests that expect
 * it; one of an engine that was lost from sight does.
 */
public final class CacheScopeUse {
    /** How long after the confirmation of a node's knowledge a store may carry out what the node frees by it. */
    public static final long FREE_VALID_MILLIS = 1_500;

    /**
     * Longest age of a confirmation by which parts are freed. A watch of the metadata store confirms more often; the rest of
     * the time for which a call is valid is left for its way to the store.
     */
    private static final long MAX_FREE_CONFIRMATION_AGE_MILLIS = 1_000;

    /** Covers differences between the clocks of VMs and between estimates of the upstreams' clock. */
    private static final long CLOCK_MARGIN_MILLIS = 500;

    /** How long a scope that has come into use is not fetched from. */
    public static final long ENTRY_DELAY_MILLIS = FREE_VALID_MILLIS + CLOCK_MARGIN_MILLIS;

    /** Longest time from the last moment at which a node may plan a fetch to the end of that fetch. */
    private static final long LAST_FETCH_MILLIS = CacheIndex.FETCH_TIMEOUT_MILLIS + CLOCK_MARGIN_MILLIS;

    /** Stands for all versions, whose numbers are positive. */
    private static final long ALL_VERSIONS = 0;

    /** Use of a model's weight versions. */
    private static final class ModelUse {
        /** The newest version ever registered. */
        private long newestVersion;
        /** Since when each version is registered, in milliseconds. */
        private final Map<Long, Long> registeredSinceMillis = new HashMap<>();

        /** The oldest version registered or kept; empty while no engine is registered, when nothing can be concluded. */
        private OptionalLong oldestVersion = OptionalLong.empty();

        /** Since when the oldest version has been at least this one, in milliseconds. */
        private final NavigableMap<Long, Long> atLeastSinceMillis = new TreeMap<>();

        /** The version of each engine that is registered or kept, by its id. */
        private Map<String, Long> versionByEngine = Map.of();

        /** When an engine of each version was last lost from sight, in milliseconds; it may still serve. */
        private final NavigableMap<Long, Long> lostAtMillis = new TreeMap<>();

        /** Creates the use of a model of which engines may have been lost from sight before. */
        ModelUse(long nowMillis) {
            lostAtMillis.put(ALL_VERSIONS, nowMillis);
        }

        void setEngines(Map<String, Long> next, long nowMillis) {
            versionByEngine.forEach((id, version) -> {
                if (!next.containsKey(id)) {
                    lostAtMillis.put(version, nowMillis);
                }
            });
            versionByEngine = next;
        }

        void setOldest(OptionalLong next, long nowMillis) {
            if (next.equals(oldestVersion)) {
                return;
            }
            oldestVersion = next;
            if (next.isEmpty()) {
                atLeastSinceMillis.clear();
                return;
            }
            Map.Entry<Long, Long> atLeast = atLeastSinceMillis.ceilingEntry(next.getAsLong());
            atLeastSinceMillis.tailMap(next.getAsLong(), false).clear();
            atLeastSinceMillis.put(next.getAsLong(), atLeast == null ? nowMillis : atLeast.getValue());
        }

        ModelSnapshot snapshot() {
            return new ModelSnapshot(
                    newestVersion,
                    registeredSinceMillis,
                    new TreeMap<>(atLeastSinceMillis),
                    new TreeMap<>(lostAtMillis));
        }
    }

    /** Versions of a model that are registered, and those of the engines that are registered or kept, by their ids. */
    private record Versions(Map<Long, Long> registeredSinceMillis, Map<String, Long> byEngine) {
        Versions() {
            this(new HashMap<>(), new HashMap<>());
        }
    }

    private final Map<String, ModelUse> models = new HashMap<>();
    private final FreeDelays delays;
    private CacheSharing sharing = CacheSharing.NONE_ISOLATED;
    private boolean configured;
    private long sharingSinceMillis;
    /** Since when no group has come into or gone out of use, as far as this node can tell, in milliseconds. */
    private long groupsKnownSinceMillis;

    private long knownSinceMillis;
    private long returns;
    private Optional<Snapshot> snapshot = Optional.of(Snapshot.NOTHING_KNOWN);

    /** Why a scope is out of use. */
    public enum Reason {
        /** All engines have newer weights. */
        VERSION_REPLACED,
        /** The configuration has no request that belongs to the group. */
        GROUP_UNUSED
    }

    /**
     * A scope that is out of use.
     *
     * @param reason why
     * @param sinceMillis since when, in milliseconds
     */
    public record Unused(Reason reason, long sinceMillis) {}

    /**
     * How long scopes must be out of use before their parts may be freed.
     *
     * @param versionMillis bound for versions that all engines are known to have replaced, in milliseconds. An engine refuses
     *     requests that expect an earlier version, so that only fetches under way have to end
     * @param lostMillis time since the last loss from sight of an engine that may still serve a version, in milliseconds
     * @param groupMillis bound for unused groups, in milliseconds
     */
    public record FreeDelays(long versionMillis, long lostMillis, long groupMillis) {
        /**
         * Derives the delays from how long nodes use what they know.
         *
         * @param knowledgeValidMillis how long nodes fetch by knowledge that is not confirmed again, in milliseconds
         * @param registrationKeptMillis how long nodes send to upstreams whose registration has ended around an outage, in
         *     milliseconds; nodes of earlier releases fetch for them too
         * @return the delays
         */
        public static FreeDelays of(long knowledgeValidMillis, long registrationKeptMillis) {
            long groupMillis = knowledgeValidMillis + LAST_FETCH_MILLIS;
            return new FreeDelays(LAST_FETCH_MILLIS, groupMillis + registrationKeptMillis, groupMillis);
        }
    }

    /** Use of a model's versions; see {@link ModelUse}. */
    private record ModelSnapshot(
            long newestVersion,
            Map<Long, Long> registeredSinceMillis,
            NavigableMap<Long, Long> atLeastSinceMillis,
            NavigableMap<Long, Long> lostAtMillis) {
        ModelSnapshot {
            registeredSinceMillis = Map.copyOf(registeredSinceMillis);
        }
    }

    /** Immutable state, for other threads. */
    public static final class Snapshot {
        /** Before the first reading; nothing may be fetched or freed. */
        public static final Snapshot NOTHING_KNOWN =
                new Snapshot(CacheSharing.NONE_ISOLATED, false, 0, 0, 0, Map.of(), 0);

        private final CacheSharing sharing;
        private final boolean configured;
        private final long sharingSinceMillis;
        private final long groupsKnownSinceMillis;
        private final long knownSinceMillis;
        private final Map<String, ModelSnapshot> models;
        private final long returns;

        private Snapshot(
                CacheSharing sharing,
                boolean configured,
                long sharingSinceMillis,
                long groupsKnownSinceMillis,
                long knownSinceMillis,
                Map<String, ModelSnapshot> models,
                long returns) {
            this.sharing = sharing;
            this.configured = configured;
            this.sharingSinceMillis = sharingSinceMillis;
            this.groupsKnownSinceMillis = groupsKnownSinceMillis;
            this.knownSinceMillis = knownSinceMillis;
            this.models = Map.copyOf(models);
            this.returns = returns;
        }

        /**
         * Returns whether requests of the configuration belong to a group, so that its parts may be saved.
         *
         * @param group the group of {@link CacheSharing}
         * @return false for a group that no configuration in force uses
         */
        public boolean usesGroup(String group) {
            return configured && sharing.uses(group);
        }

        /**
         * Returns whether a request may fetch parts. The caller has to make sure that this snapshot was the newest one not
         * long ago, see {@link ConfigurationConfirmation}.
         *
         * @param model the model's name
         * @param version its weight version
         * @param group the group of {@link CacheSharing}
         * @param nowMillis the time in milliseconds
         * @return false if the scope is out of use or has come into use a short time ago
         */
        public boolean mayFetch(String model, long version, String group, long nowMillis) {
            return usesGroup(group)
                    // No node frees the empty group while its version is in use.
                    && (group.isEmpty() || isPast(sharingSinceMillis, ENTRY_DELAY_MILLIS, nowMillis))
                    && versionInUseSince(model, version).stream()
                            .anyMatch(sinceMillis -> isPast(sinceMillis, ENTRY_DELAY_MILLIS, nowMillis));
        }

        /** Returns since when a version is certainly not taken for a replaced one by a node that knows what this one does. */
        private OptionalLong versionInUseSince(String model, long version) {
            ModelSnapshot use = models.get(model);
            if (use == null) {
                return OptionalLong.empty();
            }
            if (version >= use.newestVersion()) {
                // Nodes free versions only if a newer one was registered for long, which this node would have seen.
                return OptionalLong.of(knownSinceMillis);
            }
            Long sinceMillis = use.registeredSinceMillis().get(version);
            return sinceMillis == null ? OptionalLong.empty() : OptionalLong.of(sinceMillis);
        }

        /**
         * Returns why the parts of a scope may be freed. The caller has to make sure that this snapshot is the newest one.
         *
         * @param scope the scope, see {@link CacheScope}
         * @param delays how long scopes must be out of use before
         * @param nowMillis the time in milliseconds
         * @return the reason, or empty if the scope is in use, or went out of use a short time ago, or is not known
         */
        public Optional<Unused> freeable(String scope, FreeDelays delays, long nowMillis) {
            for (Map.Entry<String, ModelSnapshot> entry : models.entrySet()) {
                OptionalLong version = CacheScope.version(scope, entry.getKey());
                if (version.isPresent()) {
                    return replaced(entry.getValue(), version.getAsLong())
                            .filter(unused -> isPast(unused.sinceMillis(), delays.versionMillis(), nowMillis))
                            .filter(unused ->
                                    lostBefore(entry.getValue(), version.getAsLong(), nowMillis - delays.lostMillis()))
                            .or(() -> unusedGroup(CacheScope.group(scope, entry.getKey()))
                                    .filter(unused -> isPast(unused.sinceMillis(), delays.groupMillis(), nowMillis)));
                }
            }
            return Optional.empty();
        }

        private static Optional<Unused> replaced(ModelSnapshot use, long version) {
            return Optional.ofNullable(use.atLeastSinceMillis().higherEntry(version))
                    .map(newer -> new Unused(Reason.VERSION_REPLACED, newer.getValue()));
        }

        /** Returns whether no engine that may still serve a version was lost from sight after some time. */
        private static boolean lostBefore(ModelSnapshot use, long version, long timeMillis) {
            return use.lostAtMillis().headMap(version, true).values().stream()
                    .allMatch(lostAtMillis -> lostAtMillis <= timeMillis);
        }

        private Optional<Unused> unusedGroup(Optional<String> group) {
            return group.filter(name -> configured && !sharing.uses(name))
                    .map(name -> new Unused(Reason.GROUP_UNUSED, groupsKnownSinceMillis));
        }

        /**
         * Returns a number that grows when a group comes into use. Its parts may have been freed and may be written again, so
         * that what was known of the contents of cache stores must not be used any more. Replaced versions hardly ever come
         * back, other than after an outage in which registrations expire.
         *
         * @return the number of times
         */
        public long returns() {
            return returns;
        }

        private static boolean isPast(long sinceMillis, long delayMillis, long nowMillis) {
            return nowMillis - sinceMillis >= delayMillis;
        }
    }

    /**
     * Returns for how long a node may let stores free parts by its knowledge.
     *
     * @param confirmation when that knowledge was known to be the newest, empty if it never was
     * @param now the current time
     * @return the time in milliseconds after which a store must not carry out the call any more, or empty if nothing may be
     *     freed
     */
    public static OptionalLong freeValidMillis(
            Optional<ConfigurationConfirmation> confirmation, LeaderLease.ClockReading now) {
        return confirmation.stream()
                .mapToLong(known -> Math.max(0, known.ageMillis(now.monotonicMillis(), now.wallMillis())))
                .filter(ageMillis -> ageMillis <= MAX_FREE_CONFIRMATION_AGE_MILLIS)
                .map(ageMillis -> FREE_VALID_MILLIS - ageMillis)
                .findFirst();
    }

    /**
     * Creates a record without any knowledge.
     *
     * @param delays how long scopes are out of use before nodes free them
     */
    public CacheScopeUse(FreeDelays delays) {
        this.delays = delays;
    }

    /**
     * Records a complete reading of the metadata store, before which changes may have been missed. Called before the
     * reading's content is recorded. Times out of use begin anew. Times in use go on if the node has missed so little that
     * no scope can have been out of use, and freed, in between.
     *
     * @param missedMillis age of the node's knowledge, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    public void onCompleteReading(long missedMillis, long nowMillis) {
        groupsKnownSinceMillis = nowMillis;
        models.values().forEach(use -> {
            use.setOldest(OptionalLong.empty(), nowMillis);
            use.lostAtMillis.put(ALL_VERSIONS, nowMillis);
        });
        snapshot = Optional.empty();
        if (missedMillis < delays.groupMillis() - CLOCK_MARGIN_MILLIS) {
            return;
        }
        knownSinceMillis = nowMillis;
        sharingSinceMillis = nowMillis;
        models.values().forEach(use -> use.registeredSinceMillis.clear());
    }

    /**
     * Records which teams share parts.
     *
     * @param next the sharing of the configuration in force
     * @param nowMillis the time in milliseconds
     */
    public void onConfigured(CacheSharing next, long nowMillis) {
        if (configured && next.equals(sharing)) {
            return;
        }
        if (next.usesGroupsBeside(sharing)) {
            returns++;
        }
        sharing = next;
        configured = true;
        sharingSinceMillis = nowMillis;
        groupsKnownSinceMillis = nowMillis;
        snapshot = Optional.empty();
    }

    /**
     * Records the engines' registrations. Must be called for each change, so that a version that was registered for a
     * moment is not missed.
     *
     * @param registered the upstreams that are registered
     * @param kept upstreams whose registrations have ended and may return, because the metadata store was away
     * @param nowMillis the time in milliseconds
     */
    public void onUpstreams(Collection<UpstreamServer> registered, Collection<UpstreamServer> kept, long nowMillis) {
        Map<String, Versions> versionsByModel = new HashMap<>();
        for (UpstreamServer server : registered) {
            server.versionByModel().forEach((model, version) -> {
                Versions versions = versionsByModel.computeIfAbsent(model, key -> new Versions());
                versions.registeredSinceMillis().put(version, nowMillis);
                versions.byEngine().put(server.id(), version);
            });
        }
        for (UpstreamServer server : kept) {
            server.versionByModel().forEach((model, version) -> versionsByModel
                    .computeIfAbsent(model, key -> new Versions())
                    .byEngine()
                    .put(server.id(), version));
        }
        versionsByModel.keySet().forEach(model -> models.computeIfAbsent(model, key -> new ModelUse(nowMillis)));
        models.forEach((model, use) -> update(use, versionsByModel.getOrDefault(model, new Versions()), nowMillis));
        snapshot = Optional.empty();
    }

    private void update(ModelUse use, Versions versions, long nowMillis) {
        Map<Long, Long> known = use.registeredSinceMillis;
        known.keySet().retainAll(versions.registeredSinceMillis().keySet());
        versions.registeredSinceMillis().forEach(known::putIfAbsent);
        use.newestVersion = known.keySet().stream().mapToLong(Long::longValue).reduce(use.newestVersion, Math::max);
        use.setEngines(versions.byEngine(), nowMillis);
        OptionalLong oldest =
                versions.byEngine().values().stream().mapToLong(Long::longValue).min();
        use.setOldest(known.isEmpty() ? OptionalLong.empty() : oldest, nowMillis);
    }

    /**
     * Returns the present state.
     *
     * @return the state, which does not change any more
     */
    public Snapshot snapshot() {
        if (snapshot.isEmpty()) {
            Map<String, ModelSnapshot> copies = new HashMap<>();
            models.forEach((model, use) -> copies.put(model, use.snapshot()));
            snapshot = Optional.of(new Snapshot(
                    sharing,
                    configured,
                    sharingSinceMillis,
                    groupsKnownSinceMillis,
                    knownSinceMillis,
                    copies,
                    returns));
        }
        return snapshot.get();
    }
}
