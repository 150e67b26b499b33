package org.cowslipbank.entry.http;

import java.util.Optional;

import org.cowslipbank.config.Configurations;
import reactor.netty.http.server.HttpServerRequest;

/** Reads bearer keys. They are compared by digest only, so the timing of a lookup reveals nothing about other keys. */
public final class BearerKeys {
    private static final String SCHEME = "Bearer ";

    private BearerKeys() {}

    /**
     * Returns the digest of a request's bearer key.
     *
     * @param request the request
     * @return SHA-256 in lower-case hexadecimal, empty if the request has no bearer key
     */
    public static Optional<String> bearerSha256(HttpServerRequest request) {
        String header = request.requestHeaders().get("authorization");
        if (header == null || !header.startsWith(SCHEME)) {
            return Optional.empty();
        }
        return Optional.of(
                Configurations.keySha256(header.substring(SCHEME.length()).trim()));
    }
}
