package org.cowslipbank.model.relay;

import java.util.Map;

/**
 * One incarnation of an upstream, as it registered itself.
 *
 * @param id its identifier; mostly new with each start
 * @param service the service it belongs to
 * @param address its address as {@code IP:port}
 * @param dataCentre its data centre
 * @param slots requests that it runs at once
 * @param draining true if it takes no new work
 * @param bornMillis Unix time of its start in milliseconds, zero if it did not say
 * @param versionByModel weight version of each model that it has loaded
 */
public record UpstreamServer(
        String id,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean draining,
        long bornMillis,
        Map<String, Long> versionByModel) {
    /** Copies the map. */
    public UpstreamServer {
        versionByModel = Map.copyOf(versionByModel);
    }

    /**
     * Returns a name of this incarnation that differs from that of an earlier one with the same identifier.
     *
     * @return the name
     */
    public String incarnation() {
        return id + "@" + bornMillis;
    }
}
