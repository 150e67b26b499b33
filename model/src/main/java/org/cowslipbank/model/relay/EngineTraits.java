package org.cowslipbank.model.relay;

import java.util.List;

/**
 * Configured properties of a service's model engines.
 *
 * @param slots requests that one engine runs at the same time
 * @param capacityTokens cache capacity of one engine in tokens
 * @param bytesPerToken size of the cache of one token in bytes
 * @param linkMbitPerSecond bandwidth of one engine's link in megabits per second
 * @param moves true if engines may fetch cached parts from each other
 * @param models names of the models that the engines serve
 */
public record EngineTraits(
        int slots,
        long capacityTokens,
        long bytesPerToken,
        double linkMbitPerSecond,
        boolean moves,
        List<String> models) {
    /** Makes an unmodifiable copy of the list; null elements are rejected with NullPointerException. */
    public EngineTraits {
        models = List.copyOf(models);
    }
}
