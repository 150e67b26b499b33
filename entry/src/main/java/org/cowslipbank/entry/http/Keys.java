package org.cowslipbank.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import reactor.netty.http.server.HttpServerRequest;

/** Bearer keys. They are compared by digest only, so a look-up's timing reveals nothing of other keys. */
public final class Keys {
    private static final String SCHEME = "Bearer ";

    private Keys() {}

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
        return Optional.of(sha256(header.substring(SCHEME.length()).trim()));
    }

    /**
     * Returns the digest of a key.
     *
     * @param key the key
     * @return SHA-256 in lower-case hexadecimal
     */
    public static String sha256(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }
}
