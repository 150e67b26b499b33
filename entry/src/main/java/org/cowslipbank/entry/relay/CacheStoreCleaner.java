package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.CacheScope;
import org.cowslipbank.decision.relay.CacheSharing;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CachedPart;
import org.cowslipbank.ports.relay.EngineControl.FreeCall;

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
    private final Supplier<Optional<ConfigurationConfirmation>> confirmation;
    private final Clocks clocks;
    private final RelayMetrics metrics;
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

    /** Why a scope's parts are freed. */
    private enum Reason {
        VERSION_REPLACED,
        GROUP_UNUSED
    }

    /**
     * A scope whose parts are freed.
     *
     * @param reason why
     * @param sinceMillis since when it is unused, in milliseconds
     */
    private record Unused(Reason reason, long sinceMillis) {}

    /**
     * What a cleaner knows of the platform and of its node.
     *
     * @param confirmation the last confirmation of the configuration, empty before the first
     * @param view the newest view of the platform
     * @param isLeader returns whether this node frees parts
     * @param configurationValidMillis longest time for which other nodes use an earlier configuration, in milliseconds
     */
    record Knowledge(
            Supplier<Optional<ConfigurationConfirmation>> confirmation,
            Supplier<PlatformView> view,
            BooleanSupplier isLeader,
            long configurationValidMillis) {}

    /**
     * Creates a cleaner.
     *
     * @param engines calls to the stores
     * @param cacheIndex index of the parts in the stores
     * @param knowledge what is known of the platform
     * @param clocks the clocks
     * @param metrics counts what is freed
     * @param log the structured log
     */
    CacheStoreCleaner(
            EngineControl engines,
            CacheIndex cacheIndex,
            Knowledge knowledge,
            Clocks clocks,
            RelayMetrics metrics,
            DecisionLog log) {
        this.engines = engines;
        this.minGroupUnusedMillis = knowledge.configurationValidMillis() + MIN_UNUSED_MILLIS;
        this.cacheIndex = cacheIndex;
        this.confirmation = knowledge.confirmation();
        this.view = knowledge.view();
        this.isLeader = knowledge.isLeader();
        this.clocks = clocks;
        this.metrics = metrics;
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
        Map<String, Unused> unused = new TreeMap<>();
        scopes.forEach(scope -> unused(scope).ifPresent(found -> unused.put(scope, found)));
        if (unused.isEmpty()) {
            return;
        }
        for (CacheStore store : platform.routes().get().configuration().stores()) {
            freeParts(platform, store, unused);
        }
    }

    private void freeParts(PlatformView platform, CacheStore store, Map<String, Unused> unused) {
        List<CachedPart> parts =
                cacheIndex
                        .partsOfUnusedScopes(store.address(), scope -> !unused.containsKey(scope), MAX_PARTS_PER_CALL)
                        .stream()
                        .map(part -> new CachedPart(part.getKey(), part.getValue()))
                        .toList();
        if (parts.isEmpty()) {
            return;
        }
        FreeCall call = new FreeCall(cacheIndex.storeEpoch(store.address()).orElse(0L), OptionalLong.empty(), parts);
        logCall(platform, store, call, unused);
        free(store, call);
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

    private Optional<Unused> unused(String scope) {
        for (Map.Entry<String, OldestVersion> entry : oldestVersions.entrySet()) {
            OptionalLong version = CacheScope.version(scope, entry.getKey());
            if (version.isPresent()) {
                OldestVersion oldest = entry.getValue();
                boolean replaced =
                        version.getAsLong() < oldest.version() && isPast(oldest.sinceMillis(), MIN_UNUSED_MILLIS);
                return replaced
                        ? Optional.of(new Unused(Reason.VERSION_REPLACED, oldest.sinceMillis()))
                        : unusedGroup(CacheScope.group(scope, entry.getKey()));
            }
        }
        return Optional.empty();
    }

    private Optional<Unused> unusedGroup(Optional<String> group) {
        return group.map(groupsUnusedSinceMillis::get)
                .filter(sinceMillis -> isPast(sinceMillis, minGroupUnusedMillis))
                .map(sinceMillis -> new Unused(Reason.GROUP_UNUSED, sinceMillis));
    }

    private boolean isPast(long sinceMillis, long delayMillis) {
        return clocks.nowMillis() - sinceMillis >= delayMillis;
    }

    private void logCall(PlatformView platform, CacheStore store, FreeCall call, Map<String, Unused> unused) {
        LeaderLease.ClockReading now = clocks.now();
        List<String> scopes = call.parts().stream()
                .map(CachedPart::scope)
                .distinct()
                .map(scope -> describe(scope, unused.get(scope), now.monotonicMillis()))
                .toList();
        log.logState(LogFields.event("unused parts freed")
                .peer(store.address())
                .field("parts", call.parts().size())
                .field("scopes", scopes)
                .field(
                        "configurationVersion",
                        platform.routes().get().configuration().version())
                .field("storeRevision", platform.revision())
                .field(
                        "confirmationAgeMillis",
                        confirmation
                                .get()
                                .map(known -> known.ageMillis(now.monotonicMillis(), now.wallMillis()))
                                .orElse(-1L))
                .field("epoch", call.epoch())
                .field("untilMillis", call.untilMillis().orElse(-1)));
    }

    private static String describe(String scope, Unused unused, long nowMillis) {
        return scope + " " + unused.reason() + " for " + (nowMillis - unused.sinceMillis()) + " ms";
    }

    private void free(CacheStore store, FreeCall call) {
        // Remove the parts from the index first, so that no fetch is planned while the call is under way.
        call.parts().forEach(part -> cacheIndex.onPartEvent(store.address(), part.scope(), part.partId(), 0));
        engines.free(store.address(), call)
                .subscribe(freed -> onAnswer(store, call, freed), error -> onFailed(store, error));
    }

    private void onAnswer(CacheStore store, FreeCall call, boolean freed) {
        if (freed) {
            metrics.onPartsFreed(call.parts().size());
            return;
        }
        metrics.onFreeFailed();
        log.logState(LogFields.event("cache store refused to free unused parts and keeps them")
                .peer(store.address())
                .field("epoch", call.epoch())
                .field("untilMillis", call.untilMillis().orElse(-1)));
    }

    private void onFailed(CacheStore store, Throwable error) {
        metrics.onFreeFailed();
        log.logState(LogFields.event("cannot free unused parts; cache store keeps them")
                .peer(store.address())
                .error(error));
    }
}
