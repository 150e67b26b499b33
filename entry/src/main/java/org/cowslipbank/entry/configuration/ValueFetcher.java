package org.cowslipbank.entry.configuration;

import java.util.List;
import java.util.Map;

import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;

/** Fetches the configuration's root and shards from a peer, which serves {@link ConfigurationService#storedValues}. */
@FunctionalInterface
public interface ValueFetcher {
    /**
     * Fetches stored values from a peer.
     *
     * @param peer the peer to ask
     * @param keys keys of shards or of the root
     * @return the values that the peer holds, by key; an error if it cannot be reached
     */
    Mono<Map<String, byte[]>> fetch(VmId peer, List<String> keys);
}
