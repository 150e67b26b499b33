package org.cowslipbank.entry.suspects;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.cowslipbank.model.UpstreamId;

/** The requests that this node has in flight at each upstream. Any thread may call it. */
final class InFlight {
    private final Map<UpstreamId, Map<Object, Long>> runs = new ConcurrentHashMap<>();

    void sent(UpstreamId upstream, Object run, long fingerprint) {
        runs.computeIfAbsent(upstream, id -> new ConcurrentHashMap<>()).put(run, fingerprint);
    }

    void left(UpstreamId upstream, Object run) {
        Map<Object, Long> here = runs.get(upstream);
        if (here != null) {
            here.remove(run);
        }
    }

    List<Long> at(UpstreamId upstream) {
        return runs.getOrDefault(upstream, Map.of()).values().stream()
                .distinct()
                .toList();
    }
}
