package org.cowslipbank.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.cowslipbank.decision.relay.CacheDirectory;
import org.cowslipbank.decision.relay.CacheScope;
import org.cowslipbank.entry.log.LogFields;
import org.cowslipbank.model.relay.CacheStore;
import org.cowslipbank.model.relay.UpstreamServer;
import org.cowslipbank.ports.relay.EngineControl;
import org.cowslipbank.ports.relay.EngineControl.CachedPart;

/**
 * Frees parts of weight versions that no engine has any more. Stores drop nothing by themselves, so without it the
 * parts of an old version would fill them. Runs on the traffic thread of the node that leads.
 */
final class StoreCleaner {
    /**
     * How long a version must be out of use: a fetch that began before is over or thrown away by then, see
     * {@link CacheDirectory#FETCH_MILLIS}.
     */
    static final long UNUSED_MILLIS = CacheDirectory.FETCH_MILLIS + 500;

    /** Parts freed with one call. */
    static final int BATCH = 250;

    private final EngineControl engines;
    private final CacheDirectory directory;
    private final Supplier<PlatformView> view;
    private final BooleanSupplier leads;
    private final Clocks clocks;
    private final DecisionLog log;
    /** The oldest version that engines have by model, with the time since which that is so. */
    private final Map<String, Oldest> oldest = new HashMap<>();

    private record Oldest(long version, long sinceMillis) {}

    StoreCleaner(
            EngineControl engines,
            CacheDirectory directory,
            Supplier<PlatformView> view,
            BooleanSupplier leads,
            Clocks clocks,
            DecisionLog log) {
        this.engines = engines;
        this.directory = directory;
        this.view = view;
        this.leads = leads;
        this.clocks = clocks;
        this.log = log;
    }

    void tick() {
        PlatformView now = view.get();
        noteVersions(now);
        if (!leads.getAsBoolean() || now.routes().isEmpty()) {
            return;
        }
        for (CacheStore store : now.routes().get().configuration().stores()) {
            List<CachedPart> unused = directory.unused(store.address(), this::isUsed, BATCH).stream()
                    .map(part -> new CachedPart(part.getKey(), part.getValue()))
                    .toList();
            if (!unused.isEmpty()) {
                free(store, unused);
            }
        }
    }

    private void noteVersions(PlatformView now) {
        Map<String, Long> least = new HashMap<>();
        for (UpstreamServer server : now.servers().values()) {
            server.versionByModel().forEach((model, version) -> least.merge(model, version, Math::min));
        }
        long nowMillis = clocks.nowMillis();
        least.forEach((model, version) -> {
            Oldest known = oldest.get(model);
            if (known == null || known.version() != version) {
                oldest.put(model, new Oldest(version, nowMillis));
            }
        });
    }

    private boolean isUsed(String scope) {
        for (Map.Entry<String, Oldest> entry : oldest.entrySet()) {
            OptionalLong version = CacheScope.version(scope, entry.getKey());
            if (version.isPresent()) {
                boolean settled = clocks.nowMillis() - entry.getValue().sinceMillis() >= UNUSED_MILLIS;
                return !settled || version.getAsLong() >= entry.getValue().version();
            }
        }
        return true;
    }

    private void free(CacheStore store, List<CachedPart> parts) {
        long epoch = directory.epoch(store.address()).orElse(0L);
        // They count as gone at once, so that no fetch is planned from them while the call is under way.
        parts.forEach(part -> directory.onPart(store.address(), part.scope(), part.partId(), 0));
        log.state(LogFields.event("parts of old versions freed")
                .peer(store.address())
                .field("parts", parts.size()));
        engines.free(store.address(), epoch, parts)
                .subscribe(
                        done -> {},
                        error -> log.state(LogFields.event("parts not freed")
                                .peer(store.address())
                                .error(error)));
    }
}
