package org.cowslipbank.entry.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.cowslipbank.decision.relay.CacheIndex;
import org.cowslipbank.decision.relay.CacheScopeUse;
import org.cowslipbank.decision.relay.CacheScopeUse.FreeDelays;
import org.cowslipbank.decision.relay.CacheScopeUse.Unused;
import org.cowslipbank.decision.relay.ConfigurationConfirmation;
import org.cowslipbank.decision.relay.LeaderLease;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CachedPart;
import org.cowslipbank.ports.relay.EngineControl.FreeCall;

/**
 * Frees the parts of weight versions that no engine has loaded any more, and of groups of teams that no longer share
 * parts. Stores evict nothing by themselves, so these parts would fill them. Runs on the traffic thread. Only the leader
 * frees parts, to save calls; that requests do not fetch parts that are freed depends on {@link CacheScopeUse} alone.
 */
final class CacheStoreCleaner {
    /** Limit on the parts freed with one call. */
    static final int MAX_PARTS_PER_CALL = 250;

    private final EngineControl engines;
    private final CacheIndex cacheIndex;
    private final Supplier<PlatformView> view;
    private final BooleanSupplier isLeader;
    private final Supplier<Optional<ConfigurationConfirmation>> confirmation;
    private final Executor loop;
    private final Clocks clocks;
    private final RelayMetrics metrics;
    private final DecisionLog log;
    private final FreeDelays delays;

    /**
     * What is freed, and by which knowledge.
     *
     * @param platform the platform
     * @param unused the scopes out of use
     * @param atMillis the time in milliseconds
     * @param validMillis for how long the knowledge allows it, in milliseconds
     */
    private record Decision(PlatformView platform, Map<String, Unused> unused, long atMillis, long validMillis) {
        long confirmationAgeMillis() {
            return CacheScopeUse.FREE_VALID_MILLIS - validMillis;
        }
    }

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
     * @param loop the traffic thread
     * @param clocks the clocks
     * @param metrics counts what is freed
     * @param log the structured log
     */
    CacheStoreCleaner(
            EngineControl engines,
            CacheIndex cacheIndex,
            Knowledge knowledge,
            Executor loop,
            Clocks clocks,
            RelayMetrics metrics,
            DecisionLog log) {
        this.engines = engines;
        this.delays = FreeDelays.of(knowledge.configurationValidMillis(), PlatformState.REREGISTRATION_MILLIS);
        this.cacheIndex = cacheIndex;
        this.confirmation = knowledge.confirmation();
        this.view = knowledge.view();
        this.isLeader = knowledge.isLeader();
        this.loop = loop;
        this.clocks = clocks;
        this.metrics = metrics;
        this.log = log;
    }

    void freeUnusedParts() {
        if (!isLeader.getAsBoolean()) {
            return;
        }
        LeaderLease.ClockReading now = clocks.now();
        // Read before the view, so that it holds for it.
        OptionalLong validMillis = CacheScopeUse.freeValidMillis(confirmation.get(), now);
        PlatformView platform = view.get();
        if (validMillis.isEmpty()) {
            return;
        }
        // Parts share few scopes, so that each scope is judged once and not each part.
        Map<String, Unused> unused = new TreeMap<>();
        cacheIndex.scopes().forEach(scope -> platform.scopeUse()
                .freeable(scope, delays, now.monotonicMillis())
                .ifPresent(found -> unused.put(scope, found)));
        if (unused.isEmpty()) {
            return;
        }
        Decision decision = new Decision(platform, unused, now.monotonicMillis(), validMillis.getAsLong());
        for (CacheStore store :
                platform.routes().map(routes -> routes.configuration().stores()).orElse(List.of())) {
            // Without the clock the call could be carried out when the scope is in use again.
            cacheIndex
                    .upstreamClockMillis(store.address(), now.monotonicMillis())
                    .ifPresent(clockMillis -> freeParts(decision, store, clockMillis + decision.validMillis()));
        }
    }

    private void freeParts(Decision decision, CacheStore store, long untilMillis) {
        List<CachedPart> parts = cacheIndex
                .partsOfUnusedScopes(
                        store.address(), scope -> !decision.unused().containsKey(scope), MAX_PARTS_PER_CALL)
                .stream()
                .map(part -> new CachedPart(part.getKey(), part.getValue()))
                .toList();
        if (parts.isEmpty()) {
            return;
        }
        long epoch = cacheIndex.storeEpoch(store.address()).orElse(0L);
        FreeCall call = new FreeCall(epoch, OptionalLong.of(untilMillis), parts);
        logCall(decision, store, call);
        free(store, call);
    }

    private void logCall(Decision decision, CacheStore store, FreeCall call) {
        List<String> scopes = call.parts().stream()
                .map(CachedPart::scope)
                .distinct()
                .map(scope -> describe(scope, decision.unused().get(scope), decision.atMillis()))
                .toList();
        PlatformView platform = decision.platform();
        log.logState(LogFields.event("unused parts freed")
                .peer(store.address())
                .field("parts", call.parts().size())
                .field("scopes", scopes)
                .field(
                        "configurationVersion",
                        platform.routes().get().configuration().version())
                .field("storeRevision", platform.revision())
                .field("confirmationAgeMillis", decision.confirmationAgeMillis())
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
                .subscribe(
                        freed -> loop.execute(() -> onAnswer(store, call, freed)),
                        error -> loop.execute(() -> onFailed(store, call, error)));
    }

    private void onAnswer(CacheStore store, FreeCall call, boolean freed) {
        if (freed) {
            metrics.onPartsFreed(call.parts().size());
            return;
        }
        onKept(store, call);
        log.logState(LogFields.event("cache store refused to free unused parts and keeps them")
                .peer(store.address())
                .field("epoch", call.epoch())
                .field("untilMillis", call.untilMillis().orElse(-1)));
    }

    /** Lists the parts again, too short to be fetched, so that a later call frees them. */
    private void onKept(CacheStore store, FreeCall call) {
        metrics.onFreeFailed();
        boolean sameEpoch = cacheIndex
                .storeEpoch(store.address())
                .filter(epoch -> epoch == call.epoch())
                .isPresent();
        if (sameEpoch) {
            call.parts().forEach(part -> cacheIndex.onPartEvent(store.address(), part.scope(), part.partId(), 1));
        }
    }

    private void onFailed(CacheStore store, FreeCall call, Throwable error) {
        onKept(store, call);
        log.logState(LogFields.event("cannot free unused parts; cache store keeps them")
                .peer(store.address())
                .error(error));
    }
}
