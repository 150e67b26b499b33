package org.cowslipbank.config;

import java.util.List;

import net.jqwik.api.Example;
import org.cowslipbank.model.ConfigurationException;

final class ConfigurationParserTest {
    private static final String KEY = "a".repeat(64);
    private static final String TEXT =
            """
            {
              // The largest customer.
              "teams": [
                {"id": "joinery", "keySha256": ["%s"],
                 "limits": {"requestsPerSecond": 20, "burstRequests": 40, "concurrentRequests": 60, "weight": 1},
                 "models": ["reviewer"], "services": ["orders"], "homeRegion": "mu-west"},
              ],
              "models": [
                {"name": "reviewer", "activeVersion": "v1",
                 "versions": [{"weightVersion": "v1", "adapters": [], "upstreams": ["engine-1"]}]}
              ],
              "services": [{"name": "orders", "upstreams": ["app-1"], "repeatableMethods": ["GET"]}],
              "upstreams": [
                {"id": "engine-1", "kind": "engine", "dataCentre": "a", "address": "10.0.0.1:80", "state": "active",
                 "refusesOldFencingTokens": true},
                {"id": "app-1", "kind": "service", "dataCentre": "b", "address": "10.0.0.2:80", "state": "active",
                 "refusesOldFencingTokens": false}
              ],
              "stores": [{"id": "s1", "dataCentre": "c", "address": "10.0.0.3:80", "linkBytesPerSecond": 1000}],
              "weights": {"timeToFirstToken": 1, "recompute": 0.1, "link": 0.05} # Vacoas
            }
            """
                    .formatted(KEY);

    /** Guards against printed text that parses to a different configuration or is not canonical. */
    @Example
    void printedConfigurationParsesToTheSameConfiguration() throws ConfigurationException {
        Configuration parsed = ConfigurationParser.parse("f", TEXT);
        String printed = ConfigurationPrinter.print(parsed);
        Configuration reparsed = ConfigurationParser.parse("g", printed);
        Expect.equal(ConfigurationPrinter.toCanonicalOrder(parsed), reparsed);
        Expect.equal(printed, ConfigurationPrinter.print(reparsed));
    }

    /** Guards against errors that do not name the line, the path and the expected value. */
    @Example
    void errorsNameFileLinePathAndExpectedValue() {
        expectError(
                "\"engine-1\"]", "\"engine-9\"]", "f:10: $.models[0].versions[0].upstreams[0]: 'engine-9' is unknown");
        expectError(
                "[\"orders\"]", "[\"order\"]", "f:6: $.teams[0].services[0]: 'order' is unknown; expected a service");
        expectError("\"engine-1\"]", "\"app-1\"]", "of kind SERVICE; expected kind ENGINE");
        expectError("\"weight\": 1", "\"weight\": 0", "f:5: $.teams[0].limits.weight: must have an exclusive minimum");
        expectError("\"weight\": 1", "\"wait\": 1", "$.teams[0].limits");
        expectError("10.0.0.2:80", "10.0.0.1:80", "f:16: $.upstreams[1].address: '10.0.0.1:80' is given twice");
        expectError(KEY, "secret", "expected the SHA-256 of a bearer key as 64 lower-case hexadecimal digits");
        expectError("\"id\": \"joinery\"", "\"id\": \"joinery\", \"id\": \"x\"", "the field is given twice");
        expectError("\"weights\"", "weights", "f:20: $: not valid JSON");
    }

    /** Guards against two teams that share a bearer key, which would give one access to the other's answers. */
    @Example
    void keySharedByTwoTeamsIsRejected() throws ConfigurationException {
        Configuration parsed = ConfigurationParser.parse("f", TEXT);
        Team first = parsed.teams().get(0);
        Team second = new Team(
                new org.cowslipbank.model.TeamId("other"),
                first.keySha256(),
                first.limits(),
                first.models(),
                first.services(),
                first.homeRegion());
        Configuration shared = new Configuration(
                1,
                List.of(first, second),
                parsed.models(),
                parsed.services(),
                parsed.upstreams(),
                parsed.stores(),
                parsed.weights());
        String printed = ConfigurationPrinter.print(shared);
        String message = firstError(printed).getMessage();
        Expect.isTrue(message.contains("the key is already at $.teams[0].keySha256[0]"), message);
    }

    private static void expectError(String right, String wrong, String message) {
        String text = TEXT.replace(right, wrong);
        ConfigurationException error = firstError(text);
        Expect.isTrue(error.getMessage().contains(message), error.getMessage());
        Expect.equal(
                error.getMessage(), ConfigurationParser.check("f", text).get(0).getMessage());
    }

    private static ConfigurationException firstError(String text) {
        try {
            ConfigurationParser.parse("f", text);
        } catch (ConfigurationException e) {
            return e;
        }
        throw new AssertionError("no error for " + text);
    }
}
