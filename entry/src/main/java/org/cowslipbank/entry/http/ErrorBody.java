package org.cowslipbank.entry.http;

import java.util.Locale;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import org.cowslipbank.model.RunState;

/** Maps errors to the JSON error body that callers and operators receive. */
final class ErrorBody {
    private ErrorBody() {}

    static Refusal refusalOf(Throwable error) {
        if (error instanceof RefusedException refused) {
            return refused.refusal();
        }
        if (error instanceof CowslipbankException known) {
            String message = "failed at step " + known.step().name().toLowerCase(Locale.ROOT);
            int status = known.runState() == RunState.NOT_RUN ? 503 : 502;
            long retryAfterMillis = known.runState() == RunState.NOT_RUN ? 1_000 : 0;
            return new Refusal(
                    status, "upstream_error", "upstream_failed", message, known.runState(), retryAfterMillis);
        }
        return new Refusal(500, "server_error", "internal_error", "internal error", RunState.UNKNOWN, 0);
    }

    static ObjectNode toJson(Refusal refusal) {
        ObjectNode error = JsonNodeFactory.instance.objectNode();
        error.put("type", refusal.type());
        error.put("code", refusal.code());
        error.put("message", refusal.message());
        error.put("run", refusal.runState().wireName());
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.set("error", error);
        return body;
    }
}
