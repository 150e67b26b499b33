package org.cowslipbank.model.relay;

import java.util.Optional;

/**
 * A service, provided by a group of upstreams.
 *
 * @param name the service's name
 * @param maxConnections connections that one upstream accepts, over all nodes
 * @param engine properties of its model engines, empty for a plain service
 * @param cold what its upstreams can handle just after their start
 */
public record RelayService(String name, int maxConnections, Optional<EngineTraits> engine, ColdLimit cold) {}
