package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;
import org.cowslipbank.decision.relay.ExplainLimits;

/** Tests {@code GET /explain} on the metrics listener of a node. */
final class ExplainTest extends SingleNodeFixture {
    private static final String PROMPT = "&model=m&promptTokens=9010&parts=%s:9000,own:10";
    private static final List<String> COUNTERS = List.of(
            "relay.requests",
            "relay.furtherAttempts",
            "relay.keptBack",
            "relay.unexpectedErrors",
            "cache.fetches",
            "cache.placedAtHolder",
            "cache.homeLacksPart",
            "cache.sharedTokensMissing");
    private static final List<String> GAUGES =
            List.of("relay.waiting", "relay.unstarted", "cache.partsAtEngines", "cache.partsInStores", "upstream.cold");

    /** Returns the status and the body of the answer to a query. */
    private Map.Entry<Integer, JsonNode> ask(String query) throws IOException {
        String answer = RelaySystem.exchange(
                system.settings().listeners().metrics(),
                "GET /explain?" + query + " HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
        String body = answer.contains("chunked") ? RelaySystem.joined(answer) : RelaySystem.body(answer);
        return Map.entry(Integer.parseInt(answer.split(" ")[1]), new ObjectMapper().readTree(body));
    }

    /** Returns an explanation, later if the node has given too many in the last second. */
    private JsonNode explain(String query) throws IOException, InterruptedException {
        Map.Entry<Integer, JsonNode> answer = ask(query);
        while (answer.getKey() == 429) {
            Thread.sleep(50);
            answer = ask(query);
        }
        assert answer.getKey() == 200 : answer;
        return answer.getValue();
    }

    /** Asks twice at the same revision of the store, to which the node itself still writes shortly after its start. */
    private JsonNode explainAgain(String query) throws IOException, InterruptedException {
        JsonNode before = explain(query);
        JsonNode answer = explain(query);
        while (!answer.path("storeRevision").equals(before.path("storeRevision"))) {
            before = answer;
            answer = explain(query);
        }
        assert answer.equals(before) : "asking changes the answer: " + before + " " + answer;
        return answer;
    }

    private Map<String, Long> recorded() {
        Map<String, Long> values = new HashMap<>();
        COUNTERS.forEach(name -> values.put(name, system.metric(name)));
        GAUGES.forEach(name -> values.put(name, (long) system.gauge(name)));
        return values;
    }

    /** Failure guarded against: the upstream that is stated is not the one that a request is sent to; or asking leaves a trace. */
    @Example
    void statedUpstreamGetsTheNextRequest() throws Exception {
        for (int engine = 0; engine < 17; engine++) {
            system.upstream("llm", "e-" + engine, streamOf("e-" + engine));
        }
        for (int server = 0; server < 3; server++) {
            system.upstream("app", "s-" + server, ScriptedUpstream.ok("at s-" + server));
        }
        system.start();
        system.awaitStoreApplied();
        for (int number = 0; number < 4; number++) {
            String id = "r" + number;
            String prompted = "method=POST&path=/stream/&host=h&team=t&id=" + id + PROMPT.formatted("p" + number);
            Map<String, Long> before = recorded();
            JsonNode engine = explainAgain(prompted);
            JsonNode server = explain("method=GET&path=/read/&id=" + id);
            assert recorded().equals(before) : before + " " + recorded();
            assert engine.path("upstreams").size() == 17
                    && server.path("upstreams").size() == 3;
            String shape = "X-Model: m\r\nX-Token-Usage: 9010,5\r\nX-Prefix-Hash: p" + number + ":9000,own:10\r\n";
            assert system.send("/stream/", id, shape, "")
                            .contains("at "
                                    + engine.path("choice").path("upstream").asText() + "\n")
                    : engine;
            String read = system.send("/read/", id, "", "");
            assert read.endsWith("at " + server.path("choice").path("upstream").asText()) : server + " " + read;
        }
        assert system.metric("relay.requests") == 8 : "explanations are no requests";
    }

    private static ScriptedUpstream.Script streamOf(String text) {
        return (request, socket) -> {
            ScriptedUpstream.beginStream(request, socket, "id: 1\ndata: at " + text + "\n\n");
            ScriptedUpstream.endStream(socket);
        };
    }

    /** A query, and the status and a part of the answer that are expected. */
    private record Case(String query, int status, String expected) {}

    /** Failure guarded against: an explanation of what cannot be placed is an error, or leaves open what is missing. */
    @Example
    void reasonsAreStated() throws Exception {
        system.register("app", "s-1", "127.0.0.1:1", "draining");
        system.start();
        system.awaitStoreApplied();
        List<Case> cases = List.of(
                new Case("method=GET&path=/nowhere/", 200, "\"reason\":\"no_route\""),
                new Case("method=GET&path=/read/&host=other", 200, "\"reason\":\"no_route\""),
                new Case("method=GET&path=/read/&team=x", 200, "\"reason\":\"unknown_team\""),
                new Case("method=GET&path=/read/&team=t", 200, "\"waitsFor\":[\"draining\"]"),
                new Case("method=GET&path=/stream/", 200, "\"waitsFor\":[\"no_upstream\"]"),
                new Case("method=GET&path=/stream/&softwareVersion=v9", 200, "\"reason\":\"software_version_gone\""),
                new Case("path=/read/", 400, "malformed_query"),
                new Case("method=GET&path=read", 400, "malformed_query"),
                new Case("method=GET&path=/read/&path=/x/", 400, "malformed_query"),
                new Case("method=GET&path=/read/&key=k", 400, "malformed_query"),
                new Case("method=GET&path=/read/&parts=p:1", 400, "malformed_query"),
                new Case("method=GET&path=/read/&model=m&parts=p:x", 400, "malformed_query"),
                new Case("method=GET&path=/read/%", 400, "malformed_query"));
        for (Case each : cases) {
            Map.Entry<Integer, JsonNode> answer = ask(each.query());
            while (answer.getKey() == 429) {
                Thread.sleep(50);
                answer = ask(each.query());
            }
            assert answer.getKey() == each.status() : each + " " + answer;
            assert answer.getValue().toString().contains(each.expected()) : each + " " + answer;
            assert !answer.getValue().toString().contains("\"key\"") : "the only key of the configuration";
        }
    }

    /** Failure guarded against: requests that wait are not counted, or those of another service are. */
    @Example
    void waitingRequestsOfTheServiceAreCounted() throws Exception {
        system.start();
        Thread client = new Thread(() -> system.send("/stream/", "w1", "", ""));
        client.start();
        RelaySystem.await("it waits", () -> system.gauge("relay.waiting") == 1);
        assert explain("method=POST&path=/stream/").path("waiting").asInt() == 1;
        assert explain("method=GET&path=/read/").path("waiting").asInt() == 0;
        client.join();
    }

    /** Failure guarded against: a node explains at any rate, and neglects its requests. */
    @Example
    void furtherQueriesOfASecondAreRefused() throws Exception {
        system.start();
        system.stopClock();
        for (int count = 0; count < ExplainLimits.MAX_PER_SECOND; count++) {
            assert ask("method=GET&path=/read/").getKey() == 200 : count;
        }
        assert ask("method=GET&path=/read/").getKey() == 429;
        system.advanceClock(1_000);
        assert ask("method=GET&path=/read/").getKey() == 200;
        String metrics = RelaySystem.exchange(
                system.settings().listeners().metrics(), "GET /metrics HTTP/1.1\r\nHost: n\r\n\r\n");
        assert metrics.contains("cowslipbank_relay_requests") : metrics;
    }

    /** Failure guarded against: a node that knows no configuration takes every route for an unknown one. */
    @Example
    void nodeWithoutConfigurationSaysSo() throws Exception {
        system.store.remove("op/config");
        system.node().start();
        RelaySystem.await("the listener is open", () -> {
            try {
                return ask("method=GET&path=/read/").getKey() == 503;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }
}
