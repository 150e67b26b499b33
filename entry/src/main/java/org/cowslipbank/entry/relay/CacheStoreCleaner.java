package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.CacheScope;
import org.cowslipbank.decision.relay.CacheSharing;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CachedPart;

/**
 * Frees the parts of weight versions that no engine has loaded any more, and of groups of teams that no longer share
 * parts. Stores evict nothing by themselves, so these parts would fill them. Runs on the traffic thread; only the leader
 * frees parts.
 */
final class CacheStoreCleaner {
    /**
     * How long a version must be unused before its parts are freed; fetches that began earlier have ended or are
     * discarded by then, see {@link CacheIndex#FETCH_TIMEOUT_MILLIS}.
     */
    static final long MIN_UNUSED_MILLIS = CacheIndex.FETCH_TIMEOUT_MILLIS + 500;

    /** Limit on the parts freed with one call. */
    static final int MAX_PARTS_PER_CALL = 250;

    private final EngineControl engines;
    private final CacheIndex cacheIndex;
    private final Supplier<PlatformView> view;
    private final BooleanSupplier isLeader;
    private final Clocks clocks;
    private final DecisionLog log;
    /** The oldest weight version loaded by any engine, by model. */
    private final Map<String, OldestVersion> oldestVersions = new HashMap<>();
    /** Since when each group in a store belongs to no configuration in force, in milliseconds. */
    private final Map<String, Long> groupsUnusedSinceMillis = new HashMap<>();

    private final long minGroupUnusedMillis;

    /**
     * The oldest loaded version of a model.
     *
     * @param version the weight version
     * @param sinceMillis since when it is the oldest, in milliseconds
     */
    private record OldestVersion(long version, long sinceMillis) {}

    /**
     * Creates a cleaner.
     *
     * @param engines calls to the stores
     * @param cacheIndex index of the parts in the stores
     * @param view the newest view of the platform
     * @param isLeader returns whether this node frees parts
     * @param configurationValidMillis longest time for which other nodes use an earlier configuration, in milliseconds
     * @param clocks the clocks
     * @param log the structured log
     */
    CacheStoreCleaner(
            EngineControl engines,
            CacheIndex cacheIndex,
            Supplier<PlatformView> view,
            BooleanSupplier isLeader,
            long configurationValidMillis,
            Clocks clocks,
            DecisionLog log) {
        this.engines = engines;
        this.minGroupUnusedMillis = configurationValidMillis + MIN_UNUSED_MILLIS;
        this.cacheIndex = cacheIndex;
        this.view = view;
        this.isLeader = isLeader;
        this.clocks = clocks;
        this.log = log;
    }

    void freeUnusedParts() {
        PlatformView platform = view.get();
        updateOldestVersions(platform);
        if (!isLeader.getAsBoolean() || platform.routes().isEmpty()) {
            return;
        }
        // Parts share few scopes, so that each scope is judged once and not each part.
        Set<String> scopes = cacheIndex.scopes();
        updateUnusedGroups(scopes, platform.routes().get().sharing());
        Set<String> usedScopes = scopes.stream().filter(this::isUsed).collect(Collectors.toSet());
        if (usedScopes.size() == scopes.size()) {
            return;
        }
        for (CacheStore store : platform.routes().get().configuration().stores()) {
            List<CachedPart> unused =
                    cacheIndex.partsOfUnusedScopes(store.address(), usedScopes::contains, MAX_PARTS_PER_CALL).stream()
                            .map(part -> new CachedPart(part.getKey(), part.getValue()))
                            .toList();
            if (!unused.isEmpty()) {
                free(store, unused);
            }
        }
    }

    private void updateOldestVersions(PlatformView platform) {
        Map<String, Long> lowest = new HashMap<>();
        for (UpstreamServer server : platform.servers().values()) {
            server.versionByModel().forEach((model, version) -> lowest.merge(model, version, Math::min));
        }
        long nowMillis = clocks.nowMillis();
        lowest.forEach((model, version) -> {
            OldestVersion known = oldestVersions.get(model);
            if (known == null || known.version() != version) {
                oldestVersions.put(model, new OldestVersion(version, nowMillis));
            }
        });
    }

    private void updateUnusedGroups(Set<String> scopes, CacheSharing sharing) {
        groupsUnusedSinceMillis.keySet().removeIf(sharing::uses);
        for (String scope : scopes) {
            oldestVersions.keySet().stream()
                    .flatMap(model -> CacheScope.group(scope, model).stream())
                    .filter(group -> !sharing.uses(group))
                    .forEach(group -> groupsUnusedSinceMillis.putIfAbsent(group, clocks.nowMillis()));
        }
    }

    private boolean isUsed(String scope) {
        for (Map.Entry<String, OldestVersion> entry : oldestVersions.entrySet()) {
            OptionalLong version = CacheScope.version(scope, entry.getKey());
            if (version.isPresent()) {
                boolean replaced = version.getAsLong() < entry.getValue().version()
                        && isPast(entry.getValue().sinceMillis(), MIN_UNUSED_MILLIS);
                return !replaced && isGroupUsed(CacheScope.group(scope, entry.getKey()));
            }
        }
        return true;
    }

    private boolean isGroupUsed(Optional<String> group) {
        return group.map(groupsUnusedSinceMillis::get)
                .filter(sinceMillis -> isPast(sinceMillis, minGroupUnusedMillis))
                .isEmpty();
    }

    private boolean isPast(long sinceMillis, long delayMillis) {
        return clocks.nowMillis() - sinceMillis >= delayMillis;
    }

    private void free(CacheStore store, List<CachedPart> parts) {
        long epoch = cacheIndex.storeEpoch(store.address()).orElse(0L);
        // Remove the parts from the index first, so that no fetch is planned while the call is under way.
        parts.forEach(part -> cacheIndex.onPartEvent(store.address(), part.scope(), part.partId(), 0));
        log.logState(LogFields.event("unused parts freed").peer(store.address()).field("parts", parts.size()));
        engines.free(store.address(), epoch, parts)
                .subscribe(
                        done -> {},
                        error -> log.logState(LogFields.event("cannot free unused parts; cache store keeps them")
                                .peer(store.address())
                                .error(error)));
    }
}
