package org.cowslipbank.entry.configuration;

import java.util.List;
import java.util.Map;

import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;

/** Fetches values of the configuration from another node, which serves them with {@link ConfigurationService#values}. */
@FunctionalInterface
public interface ValueFetcher {
    /**
     * Fetches values.
     *
     * @param peer the node
     * @param keys keys of shards or of the root
     * @return the values that the node holds, by key; an error if it could not be reached
     */
    Mono<Map<String, byte[]>> fetch(VmId peer, List<String> keys);
}
