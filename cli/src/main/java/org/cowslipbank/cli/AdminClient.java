package org.cowslipbank.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cowslipbank.model.ConfigurationException;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.ports.BoundedBytes;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/** HTTP client of a node: of its administration interface and of the other listeners that operators call. */
final class AdminClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** Longest answer that is read; a configuration has a few megabytes. */
    private static final int MAX_ANSWER_BYTES = 64 << 20;

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

    private final String address;
    private final String key;

    private AdminClient(String address, String key) {
        this.address = address;
        this.key = key;
    }

    /** Options of all commands that call a node: its address and the key file. */
    static final class Connection {
        private final OptionSpec<String> address;
        private final OptionSpec<String> keyFile;

        Connection(OptionParser parser) {
            address = parser.accepts("admin", "Admin address of a node as IP:port.")
                    .withRequiredArg()
                    .defaultsTo("127.0.0.1:9090");
            keyFile = parser.accepts("key-file", "File with the operator's key.")
                    .withRequiredArg()
                    .required();
        }

        AdminClient createClient(OptionSet options) throws ConfigurationException {
            String file = options.valueOf(keyFile);
            try {
                return new AdminClient(
                        options.valueOf(address),
                        Files.readString(Path.of(file)).trim());
            } catch (IOException e) {
                throw new ConfigurationException(file, 0, "$", "the key file cannot be read");
            }
        }
    }

    Answer call(HttpMethod method, String path, Map<String, String> headers, String body) throws CowslipbankException {
        Map<String, String> all = new HashMap<>(headers);
        all.put("authorization", "Bearer " + key);
        return call(method, address, "/admin/v1" + path, all, body, RESPONSE_TIMEOUT);
    }

    /**
     * Calls a listener of a node.
     *
     * @param method the HTTP method
     * @param address the listener as {@code IP:port}
     * @param target path and query
     * @param headers the headers
     * @param body the request body
     * @param timeout time for the whole call
     * @return the response
     * @throws PeerException if the node does not answer in time
     */
    static Answer call(
            HttpMethod method,
            String address,
            String target,
            Map<String, String> headers,
            String body,
            Duration timeout)
            throws PeerException {
        try {
            return HttpClient.newConnection()
                    .headers(set -> headers.forEach(set::set))
                    .request(method)
                    .uri("http://" + address + target)
                    .send(ByteBufFlux.fromString(Mono.just(body)))
                    .response((response, content) -> BoundedBytes.collect(content.asByteArray(), MAX_ANSWER_BYTES)
                            .map(bytes ->
                                    new Answer(response.status().code(), new String(bytes, StandardCharsets.UTF_8))))
                    .single()
                    .block(timeout);
        } catch (RuntimeException e) {
            throw new PeerException(ProcessingStep.CONFIGURE, address, RunState.UNKNOWN, "the node does not answer", e);
        }
    }

    Answer get(String path) throws CowslipbankException {
        return call(HttpMethod.GET, path, Map.of(), "");
    }

    /**
     * A response of the administration interface.
     *
     * @param status the HTTP status
     * @param text the response body
     */
    record Answer(int status, String text) {
        boolean isSuccess() {
            return status == 200;
        }

        JsonNode json() {
            try {
                return MAPPER.readTree(text);
            } catch (IOException e) {
                return MAPPER.createObjectNode();
            }
        }

        String prettyJson() {
            return json().toPrettyString();
        }

        /** Returns code and message of the error, or the HTTP status if the body has no error message. */
        String errorMessage() {
            JsonNode error = json().path("error");
            return error.has("message")
                    ? error.path("code").asText() + ": " + error.path("message").asText()
                    : "HTTP status " + status;
        }

        ExitCode printTo(Console console) {
            if (isSuccess()) {
                console.out().println(prettyJson());
                return ExitCode.DONE;
            }
            console.err().println(errorMessage());
            return exitCode();
        }

        ExitCode exitCode() {
            if (isSuccess()) {
                return ExitCode.DONE;
            }
            if (status == 503) {
                return ExitCode.UNREACHABLE;
            }
            return status == 409 ? ExitCode.OUTCOME_MISSED : ExitCode.BAD_INPUT;
        }
    }
}
