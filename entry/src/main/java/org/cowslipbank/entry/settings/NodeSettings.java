package org.cowslipbank.entry.settings;

import java.util.List;
import java.util.Map;

/**
 * Settings of a node.
 *
 * @param vm name of the VM, unique in the fleet
 * @param dataCentre its data centre
 * @param region its region
 * @param regionDataCentres data centres of the region, empty if all data centres are in one region
 * @param callers listener for callers
 * @param admin listener for operators, health checks and metrics
 * @param peers listener for other nodes
 * @param platform addresses of the platform's services
 * @param seeds other nodes that are known without the platform's VM list
 * @param fleetSecretFile file with the secret that all nodes of the fleet share
 * @param adminKeysFile file with the operators' keys, one {@code name:key} per line
 * @param pieceBytes length in bytes of the pieces into which prompts are cut, zero for the default
 * @param engineCacheMillis time for which an engine is expected to hold the blocks of a finished prompt in its own
 *     cache, in milliseconds; null for the default
 * @param distancesMillis one-way distance to other data centres in milliseconds
 * @param configurationFile first configuration, used only if the platform holds none, or null
 * @param traceFile file to which decisions are recorded for replay, or null for none
 * @param entriesValidMillis how long a caller may use the answer of an address look-up, in milliseconds; null for the
 *     default
 * @param tls TLS of the listeners, or null for none
 */
public record NodeSettings(
        String vm,
        String dataCentre,
        String region,
        List<String> regionDataCentres,
        ListenSettings callers,
        ListenSettings admin,
        ListenSettings peers,
        PlatformSettings platform,
        List<SeedSettings> seeds,
        String fleetSecretFile,
        String adminKeysFile,
        int pieceBytes,
        Long engineCacheMillis,
        Map<String, Double> distancesMillis,
        String configurationFile,
        String traceFile,
        Long entriesValidMillis,
        TlsSettings tls) {
    private static final long DEFAULT_ENTRIES_VALID_MILLIS = 10_000;
    // Engines evict blocks of sessions that pause for longer, so an older cache hint is more often wrong than right.
    private static final long DEFAULT_ENGINE_CACHE_MILLIS = 10_000;

    /**
     * Makes unmodifiable copies of the collections and replaces absent values by empty collections or defaults; null
     * elements, map keys and map values are rejected with NullPointerException.
     */
    public NodeSettings {
        regionDataCentres = regionDataCentres == null ? List.of() : List.copyOf(regionDataCentres);
        seeds = seeds == null ? List.of() : List.copyOf(seeds);
        entriesValidMillis = entriesValidMillis == null ? DEFAULT_ENTRIES_VALID_MILLIS : entriesValidMillis;
        engineCacheMillis = engineCacheMillis == null ? DEFAULT_ENGINE_CACHE_MILLIS : engineCacheMillis;
        distancesMillis = distancesMillis == null ? Map.of() : Map.copyOf(distancesMillis);
    }
}
