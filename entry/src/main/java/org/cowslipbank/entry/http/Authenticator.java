package org.cowslipbank.entry.http;

import java.util.function.Supplier;

import org.cowslipbank.config.Team;
import org.cowslipbank.entry.traffic.ConfigurationIndex;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import reactor.netty.http.server.HttpServerRequest;

/** Authenticates callers by bearer key and finds their team. */
final class Authenticator {
    private final Supplier<ConfigurationIndex> configuration;

    Authenticator(Supplier<ConfigurationIndex> configuration) {
        this.configuration = configuration;
    }

    Team authenticate(HttpServerRequest request) throws RefusedException {
        String digest = BearerKeys.bearerSha256(request).orElseThrow(() -> unauthorized("a bearer key is required"));
        return configuration.get().teamByKey(digest).orElseThrow(() -> unauthorized("the bearer key is not known"));
    }

    private static RefusedException unauthorized(String message) {
        return new RefusedException(ProcessingStep.AUTHENTICATE, Refusal.invalid(401, "invalid_api_key", message));
    }
}
