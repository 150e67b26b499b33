package org.cowslipbank.entry.suspects;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.cowslipbank.model.UpstreamId;

/** In-flight table: fingerprints of this node's runs at each upstream. Thread-safe. */
final class InFlightTable {
    private final Map<UpstreamId, Map<Object, Long>> runsByUpstream = new ConcurrentHashMap<>();

    void add(UpstreamId upstream, Object run, long fingerprint) {
        runsByUpstream
                .computeIfAbsent(upstream, id -> new ConcurrentHashMap<>())
                .put(run, fingerprint);
    }

    void remove(UpstreamId upstream, Object run) {
        Map<Object, Long> atUpstream = runsByUpstream.get(upstream);
        if (atUpstream != null) {
            atUpstream.remove(run);
        }
    }

    List<Long> fingerprintsAt(UpstreamId upstream) {
        return runsByUpstream.getOrDefault(upstream, Map.of()).values().stream()
                .distinct()
                .toList();
    }
}
