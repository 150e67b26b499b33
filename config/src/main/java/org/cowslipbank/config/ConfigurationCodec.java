package org.cowslipbank.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.TeamId;
import org.cowslipbank.model.UpstreamId;

/**
 * Converts configuration records to JSON trees and back. Field order is fixed, so that equal records give equal text.
 * The read methods do not validate: they expect a tree that was checked against the schema or written by this class.
 */
public final class ConfigurationCodec {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private ConfigurationCodec() {}

    /**
     * Converts a whole configuration to JSON.
     *
     * @param configuration the configuration
     * @return the tree, without a revision if it is zero
     */
    public static ObjectNode write(Configuration configuration) {
        ObjectNode node = NODES.objectNode();
        if (configuration.revision() != 0) {
            node.put("revision", configuration.revision());
        }
        node.set("teams", writeTeams(configuration.teams()));
        node.setAll(writeFleet(configuration));
        return node;
    }

    /**
     * Converts all sections except the teams and the revision to JSON.
     *
     * @param configuration the configuration
     * @return the tree
     */
    public static ObjectNode writeFleet(Configuration configuration) {
        ObjectNode node = NODES.objectNode();
        node.set("models", writeItems(configuration.models(), ConfigurationCodec::writeModel));
        node.set("services", writeItems(configuration.services(), ConfigurationCodec::writeService));
        node.set("upstreams", writeItems(configuration.upstreams(), ConfigurationCodec::writeUpstream));
        node.set("stores", writeItems(configuration.stores(), ConfigurationCodec::writeStore));
        node.set("weights", writeWeights(configuration.weights()));
        return node;
    }

    /**
     * Converts teams to JSON.
     *
     * @param teams the teams
     * @return the tree
     */
    public static ArrayNode writeTeams(List<Team> teams) {
        return writeItems(teams, ConfigurationCodec::writeTeam);
    }

    /**
     * Reads a whole configuration.
     *
     * @param node the tree
     * @return the configuration
     */
    public static Configuration read(JsonNode node) {
        return readFleet(node.path("revision").asLong(0), readTeams(node.path("teams")), node);
    }

    /**
     * Reads all sections except the teams.
     *
     * @param revision the revision
     * @param teams the teams
     * @param node the tree with the other sections
     * @return the configuration
     */
    public static Configuration readFleet(long revision, List<Team> teams, JsonNode node) {
        return new Configuration(
                revision,
                teams,
                readItems(node.path("models"), ConfigurationCodec::readModel),
                readItems(node.path("services"), ConfigurationCodec::readService),
                readItems(node.path("upstreams"), ConfigurationCodec::readUpstream),
                readItems(node.path("stores"), ConfigurationCodec::readStore),
                readWeights(node.path("weights")));
    }

    /**
     * Reads teams.
     *
     * @param node the tree
     * @return the teams
     */
    public static List<Team> readTeams(JsonNode node) {
        return readItems(node, ConfigurationCodec::readTeam);
    }

    static JsonNode writeTeam(Team team) {
        ObjectNode node = NODES.objectNode();
        node.put("id", team.id().value());
        node.set("keySha256", writeTexts(team.keySha256()));
        ObjectNode limits = node.putObject("limits");
        limits.put("requestsPerSecond", team.limits().requestsPerSecond());
        limits.put("burstRequests", team.limits().burstRequests());
        limits.put("concurrentRequests", team.limits().concurrentRequests());
        limits.put("weight", team.limits().weight());
        node.set("models", writeTexts(team.models()));
        node.set("services", writeTexts(team.services()));
        node.put("homeRegion", team.homeRegion());
        return node;
    }

    static JsonNode writeModel(Model model) {
        ObjectNode node = NODES.objectNode();
        node.put("name", model.name());
        node.put("activeVersion", model.activeVersion());
        node.set("versions", writeItems(model.versions(), ConfigurationCodec::writeVersion));
        return node;
    }

    static JsonNode writeService(Service service) {
        ObjectNode node = NODES.objectNode();
        node.put("name", service.name());
        node.set("upstreams", writeUpstreamIds(service.upstreams()));
        node.set("repeatableMethods", writeTexts(service.repeatableMethods()));
        return node;
    }

    static JsonNode writeUpstream(Upstream upstream) {
        ObjectNode node = NODES.objectNode();
        node.put("id", upstream.id().value());
        node.put("kind", toLowerCase(upstream.kind()));
        node.put("dataCentre", upstream.dataCentre().value());
        node.put("address", upstream.address());
        node.put("state", toLowerCase(upstream.state()));
        node.put("refusesOldFencingTokens", upstream.refusesOldFencingTokens());
        return node;
    }

    static JsonNode writeStore(StoreVm store) {
        ObjectNode node = NODES.objectNode();
        node.put("id", store.id().value());
        node.put("dataCentre", store.dataCentre().value());
        node.put("address", store.address());
        node.put("linkBytesPerSecond", store.linkBytesPerSecond());
        return node;
    }

    static JsonNode writeWeights(DecisionWeights weights) {
        ObjectNode node = NODES.objectNode();
        node.put("timeToFirstToken", weights.timeToFirstToken());
        node.put("recompute", weights.recompute());
        node.put("link", weights.link());
        return node;
    }

    private static JsonNode writeVersion(ModelVersion version) {
        ObjectNode node = NODES.objectNode();
        node.put("weightVersion", version.weightVersion());
        node.set("adapters", writeTexts(version.adapters()));
        node.set("upstreams", writeUpstreamIds(version.upstreams()));
        return node;
    }

    private static Team readTeam(JsonNode node) {
        JsonNode limits = node.path("limits");
        return new Team(
                new TeamId(node.path("id").asText()),
                readItems(node.path("keySha256"), JsonNode::asText),
                new TeamLimits(
                        limits.path("requestsPerSecond").asDouble(),
                        limits.path("burstRequests").asInt(),
                        limits.path("concurrentRequests").asInt(),
                        limits.path("weight").asDouble()),
                readItems(node.path("models"), JsonNode::asText),
                readItems(node.path("services"), JsonNode::asText),
                node.path("homeRegion").asText());
    }

    private static Model readModel(JsonNode node) {
        return new Model(
                node.path("name").asText(),
                node.path("activeVersion").asText(),
                readItems(
                        node.path("versions"),
                        version -> new ModelVersion(
                                version.path("weightVersion").asText(),
                                readItems(version.path("adapters"), JsonNode::asText),
                                readUpstreamIds(version.path("upstreams")))));
    }

    private static Service readService(JsonNode node) {
        return new Service(
                node.path("name").asText(),
                readUpstreamIds(node.path("upstreams")),
                readItems(node.path("repeatableMethods"), JsonNode::asText));
    }

    private static Upstream readUpstream(JsonNode node) {
        return new Upstream(
                new UpstreamId(node.path("id").asText()),
                UpstreamKind.valueOf(node.path("kind").asText().toUpperCase(Locale.ROOT)),
                new DataCentreId(node.path("dataCentre").asText()),
                node.path("address").asText(),
                UpstreamState.valueOf(node.path("state").asText().toUpperCase(Locale.ROOT)),
                node.path("refusesOldFencingTokens").asBoolean());
    }

    private static StoreVm readStore(JsonNode node) {
        return new StoreVm(
                new StoreId(node.path("id").asText()),
                new DataCentreId(node.path("dataCentre").asText()),
                node.path("address").asText(),
                node.path("linkBytesPerSecond").asLong());
    }

    private static DecisionWeights readWeights(JsonNode node) {
        return new DecisionWeights(
                node.path("timeToFirstToken").asDouble(),
                node.path("recompute").asDouble(),
                node.path("link").asDouble());
    }

    private static List<UpstreamId> readUpstreamIds(JsonNode node) {
        return readItems(node, item -> new UpstreamId(item.asText()));
    }

    private static ArrayNode writeUpstreamIds(List<UpstreamId> ids) {
        return writeItems(ids, id -> NODES.textNode(id.value()));
    }

    private static ArrayNode writeTexts(List<String> texts) {
        return writeItems(texts, NODES::textNode);
    }

    private static <T> ArrayNode writeItems(List<T> items, Function<T, JsonNode> write) {
        ArrayNode node = NODES.arrayNode(items.size());
        items.forEach(item -> node.add(write.apply(item)));
        return node;
    }

    private static <T> List<T> readItems(JsonNode node, Function<JsonNode, T> read) {
        List<T> items = new ArrayList<>(node.size());
        node.forEach(item -> items.add(read.apply(item)));
        return items;
    }

    private static String toLowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
