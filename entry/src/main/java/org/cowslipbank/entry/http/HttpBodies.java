package org.cowslipbank.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.Refusal;
import org.cowslipbank.model.RefusedException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Reads request bodies up to a size limit and writes JSON responses. */
public final class HttpBodies {
    static final int MAX_BODY_BYTES = 4_000_000;

    private HttpBodies() {}

    /**
     * Reads a request body.
     *
     * @param request the request
     * @return the bytes; signals {@link RefusedException} if the body exceeds the limit
     */
    public static Mono<byte[]> read(HttpServerRequest request) {
        return request.receive()
                .asByteArray()
                .reduceWith(ByteArrayOutputStream::new, HttpBodies::append)
                .flatMap(HttpBodies::withinLimit);
    }

    // Bytes beyond the limit are read and discarded, so that a client that is still sending receives the refusal.
    private static ByteArrayOutputStream append(ByteArrayOutputStream body, byte[] chunk) {
        if (body.size() <= MAX_BODY_BYTES) {
            body.writeBytes(chunk);
        }
        return body;
    }

    private static Mono<byte[]> withinLimit(ByteArrayOutputStream body) {
        if (body.size() <= MAX_BODY_BYTES) {
            return Mono.just(body.toByteArray());
        }
        Refusal refusal =
                Refusal.invalid(413, "body_too_large", "the body must not exceed " + MAX_BODY_BYTES + " bytes");
        return Mono.error(new RefusedException(ProcessingStep.PARSE, refusal));
    }

    /**
     * Writes a JSON response.
     *
     * @param response the response
     * @param body the JSON body
     * @return completes when it is written
     */
    public static Mono<Void> send(HttpServerResponse response, JsonNode body) {
        return response.header("content-type", "application/json")
                .sendByteArray(Mono.just(body.toString().getBytes(StandardCharsets.UTF_8)))
                .then();
    }

    /**
     * Writes an error response in the format shared by the interfaces for callers and operators.
     *
     * @param response the response
     * @param error the error
     * @return completes when it is written
     */
    public static Mono<Void> sendFailure(HttpServerResponse response, Throwable error) {
        Refusal refusal = ErrorBody.refusalOf(error);
        response.status(refusal.httpStatus());
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + 999) / 1_000;
            response.header("retry-after", Long.toString(seconds));
        }
        return send(response, ErrorBody.toJson(refusal));
    }
}
