package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.CacheScope;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CachedPart;

/**
 * Frees the parts of weight versions that no engine has loaded any more. Stores evict nothing by themselves, so the
 * parts of old versions would fill them. Runs on the traffic thread; only the leader frees parts.
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

    /**
     * The oldest loaded version of a model.
     *
     * @param version the weight version
     * @param sinceMillis since when it is the oldest, in milliseconds
     */
    private record OldestVersion(long version, long sinceMillis) {}

    CacheStoreCleaner(
            EngineControl engines,
            CacheIndex cacheIndex,
            Supplier<PlatformView> view,
            BooleanSupplier isLeader,
            Clocks clocks,
            DecisionLog log) {
        this.engines = engines;
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
        for (CacheStore store : platform.routes().get().configuration().stores()) {
            List<CachedPart> unused =
                    cacheIndex.partsOfUnusedScopes(store.address(), this::isUsed, MAX_PARTS_PER_CALL).stream()
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

    private boolean isUsed(String scope) {
        for (Map.Entry<String, OldestVersion> entry : oldestVersions.entrySet()) {
            OptionalLong version = CacheScope.version(scope, entry.getKey());
            if (version.isPresent()) {
                boolean unusedLongEnough = clocks.nowMillis() - entry.getValue().sinceMillis() >= MIN_UNUSED_MILLIS;
                return !unusedLongEnough
                        || version.getAsLong() >= entry.getValue().version();
            }
        }
        return true;
    }

    private void free(CacheStore store, List<CachedPart> parts) {
        long epoch = cacheIndex.storeEpoch(store.address()).orElse(0L);
        // Remove the parts from the index first, so that no fetch is planned while the call is under way.
        parts.forEach(part -> cacheIndex.onPartEvent(store.address(), part.scope(), part.partId(), 0));
        log.logState(LogFields.event("parts of old versions freed")
                .peer(store.address())
                .field("parts", parts.size()));
        engines.free(store.address(), epoch, parts)
                .subscribe(
                        done -> {},
                        error -> log.logState(
                                LogFields.event("cannot free parts of old versions; cache store keeps them")
                                        .peer(store.address())
                                        .error(error)));
    }
}
