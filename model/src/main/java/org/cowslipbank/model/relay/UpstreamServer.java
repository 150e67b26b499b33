package org.cowslipbank.model.relay;

import java.util.Map;

/**
 * One incarnation of an upstream, as registered by itself.
 *
 * @param id its identifier; usually, but not always, a new one for each start
 * @param service the service it belongs to
 * @param address its address as {@code IP:port}
 * @param dataCentre its data centre
 * @param slots requests that it runs at the same time
 * @param draining true if it accepts no new requests
 * @param softwareVersion version of its software, empty if not stated; only upstreams of the same version may continue
 *     each other's streams
 * @param startedAtMillis Unix time of its start in milliseconds, zero if not stated
 * @param versionByModel weight version of each model that it has loaded
 */
public record UpstreamServer(
        String id,
        String service,
        String address,
        String dataCentre,
        int slots,
        boolean draining,
        String softwareVersion,
        long startedAtMillis,
        Map<String, Long> versionByModel) {
    /** Makes an unmodifiable copy of the map; null keys and values are rejected with NullPointerException. */
    public UpstreamServer {
        versionByModel = Map.copyOf(versionByModel);
    }

    /**
     * Returns a name that distinguishes this incarnation from earlier ones with the same identifier.
     *
     * @return the name, {@code id@startTime}
     */
    public String incarnation() {
        return id + "@" + startedAtMillis;
    }
}
