package org.cowslipbank.config;

import java.util.List;

import org.cowslipbank.model.UpstreamId;

/**
 * One version of a model's weights.
 *
 * @param weightVersion name of the version
 * @param adapters names of the adapters available for it
 * @param upstreams engines allowed to serve it
 */
public record ModelVersion(String weightVersion, List<String> adapters, List<UpstreamId> upstreams) {
    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public ModelVersion {
        adapters = List.copyOf(adapters);
        upstreams = List.copyOf(upstreams);
    }
}
