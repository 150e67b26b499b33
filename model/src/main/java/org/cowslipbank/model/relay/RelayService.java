package org.cowslipbank.model.relay;

import java.util.Optional;

/**
 * A service of upstreams.
 *
 * @param name the service's name
 * @param maxConnections connections that one upstream accepts from all nodes together
 * @param engine traits of its model engines, empty for a plain service
 */
public record RelayService(String name, int maxConnections, Optional<EngineTraits> engine) {}
