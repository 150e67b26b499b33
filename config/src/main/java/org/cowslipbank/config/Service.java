package org.cowslipbank.config;

import java.util.List;

import org.cowslipbank.model.UpstreamId;

/**
 * A plain service: a proxied HTTP service that runs no model.
 *
 * @param name the name in the path {@code /v1/services/{name}/}
 * @param upstreams its instances
 * @param repeatableMethods HTTP methods whose calls may safely be repeated; calls of all others need an idempotency key
 */
public record Service(String name, List<UpstreamId> upstreams, List<String> repeatableMethods) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public Service {
        upstreams = List.copyOf(upstreams);
        repeatableMethods = List.copyOf(repeatableMethods);
    }
}
