package org.cowslipbank.model.relay;

import java.util.List;

/**
 * What is configured of the model engines of a service.
 *
 * @param slots requests that an engine runs at once
 * @param capacityTokens tokens that fit into an engine's memory
 * @param bytesPerToken cache bytes of a token
 * @param linkMbitPerSecond rate of an engine's link, in megabits a second
 * @param models names of the models that the engines serve
 */
public record EngineTraits(
        int slots, long capacityTokens, long bytesPerToken, double linkMbitPerSecond, List<String> models) {
    /** Copies the list. */
    public EngineTraits {
        models = List.copyOf(models);
    }
}
