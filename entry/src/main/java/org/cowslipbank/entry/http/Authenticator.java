package org.cowslipbank.entry.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.function.Supplier;

import org.cowslipbank.config.Team;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.Step;
import reactor.netty.http.server.HttpServerRequest;

/** Finds the team of a bearer key. */
final class Authenticator {
    private static final String SCHEME = "Bearer ";

    private final Supplier<ConfigurationIndex> configuration;

    Authenticator(Supplier<ConfigurationIndex> configuration) {
        this.configuration = configuration;
    }

    Team authenticate(HttpServerRequest request) throws RefusedException {
        String header = request.requestHeaders().get("authorization");
        if (header == null || !header.startsWith(SCHEME)) {
            throw refused("a bearer key is required");
        }
        // The configuration holds digests only, and a look-up by digest reveals nothing of other keys by its timing.
        String digest = sha256(header.substring(SCHEME.length()).trim());
        return configuration.get().teamByKey(digest).orElseThrow(() -> refused("the bearer key is not known"));
    }

    static String sha256(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }

    private static RefusedException refused(String message) {
        return new RefusedException(Step.AUTHENTICATE, Refusal.invalid(401, "invalid_api_key", message));
    }
}
