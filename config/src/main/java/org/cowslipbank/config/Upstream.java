package org.cowslipbank.config;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;

/**
 * An engine or an instance of a plain service.
 *
 * @param id the upstream's identifier
 * @param kind whether it is an engine or an instance of a plain service
 * @param dataCentre its data centre
 * @param address its address as {@code IP:port}
 * @param state whether it accepts new work
 * @param refusesOldFencingTokens true if the engine rejects orders with an old fencing token
 */
public record Upstream(
        UpstreamId id,
        UpstreamKind kind,
        DataCentreId dataCentre,
        String address,
        UpstreamState state,
        boolean refusesOldFencingTokens) {}
