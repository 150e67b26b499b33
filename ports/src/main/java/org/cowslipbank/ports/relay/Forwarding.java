package org.cowslipbank.ports.relay;

import java.util.Optional;

/**
 * What a node that passes a client's request to another node says about it. Only nodes may state it.
 *
 * @param configurationVersion version of the configuration by which the sender has checked the request
 * @param runs attempts of the request that may have run already
 * @param softwareVersion software version of the upstreams to which the request is bound, because its client has events
 *     from one of them
 */
public record Forwarding(long configurationVersion, int runs, Optional<String> softwareVersion) {}
