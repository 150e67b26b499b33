package org.cowslipbank.entry.admin;

import java.time.Clock;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;

import io.netty.handler.codec.http.HttpHeaders;
import org.cowslipbank.config.ConfigurationEdit;
import org.cowslipbank.decision.configuration.ChangeMetadata;
import org.cowslipbank.entry.configuration.ChangeRequest;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;

/** Builds a configuration change request from its HTTP headers. */
final class ChangeHeaders {
    private static final String CHANGE_ID = "x-change-id";
    private static final String CHANGE_REASON = "x-change-reason";
    private static final String MAY_LAG = "x-may-lag";

    private ChangeHeaders() {}

    static ChangeRequest toRequest(HttpHeaders headers, String operator, Clock clock, ConfigurationEdit edit)
            throws RefusedException {
        String changeId = headers.get(CHANGE_ID, UUID.randomUUID().toString());
        List<String> mayLag = Arrays.stream(headers.get(MAY_LAG, "").split(","))
                .map(String::trim)
                .filter(name -> !name.isEmpty())
                .toList();
        ChangeMetadata metadata =
                new ChangeMetadata(changeId, operator, headers.get(CHANGE_REASON, ""), clock.millis(), mayLag);
        return new ChangeRequest(metadata, expectedRevision(headers.get("if-match")), edit);
    }

    private static long expectedRevision(String ifMatch) throws RefusedException {
        if (ifMatch == null) {
            throw refused(428, "if_match_required", "a change needs If-Match with the revision that was read");
        }
        try {
            return Long.parseLong(ifMatch.replace("\"", "").trim());
        } catch (NumberFormatException e) {
            throw refused(400, "invalid_if_match", "If-Match must hold a revision number");
        }
    }

    private static RefusedException refused(int status, String code, String message) {
        return new RefusedException(ProcessingStep.CONFIGURE, Refusal.invalid(status, code, message));
    }
}
