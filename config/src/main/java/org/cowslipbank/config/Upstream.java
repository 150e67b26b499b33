package org.cowslipbank.config;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.UpstreamId;

/**
 * An engine or an instance of a plain service.
 *
 * @param id the upstream
 * @param kind what it is
 * @param dataCentre its data centre
 * @param address its address as {@code IP:port}
 * @param state whether it takes new work
 * @param refusesOldFencingTokens true if the engine refuses an order with an old fencing token
 */
public record Upstream(
        UpstreamId id,
        UpstreamKind kind,
        DataCentreId dataCentre,
        String address,
        UpstreamState state,
        boolean refusesOldFencingTokens) {}
