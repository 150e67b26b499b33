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
 * Converts configuration records to JSON trees and back. Field order is fixed, so equal records give equal text.
 * Reading expects a tree whose structure has been checked or that this class has written.
 */
public final class ConfigurationCodec {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private ConfigurationCodec() {}

    /**
     * Converts a whole configuration to JSON.
     *
     * @param configuration the configuration
     * @return the tree; the revision is left out while it is zero
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
     * Converts everything but the teams and the revision to JSON.
     *
     * @param configuration the configuration
     * @return the tree
     */
    public static ObjectNode writeFleet(Configuration configuration) {
        ObjectNode node = NODES.objectNode();
        node.set("models", list(configuration.models(), ConfigurationCodec::writeModel));
        node.set("services", list(configuration.services(), ConfigurationCodec::writeService));
        node.set("upstreams", list(configuration.upstreams(), ConfigurationCodec::writeUpstream));
        node.set("stores", list(configuration.stores(), ConfigurationCodec::writeStore));
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
        return list(teams, ConfigurationCodec::writeTeam);
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
     * Reads everything but the teams.
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
                items(node.path("models"), ConfigurationCodec::readModel),
                items(node.path("services"), ConfigurationCodec::readService),
                items(node.path("upstreams"), ConfigurationCodec::readUpstream),
                items(node.path("stores"), ConfigurationCodec::readStore),
                readWeights(node.path("weights")));
    }

    /**
     * Reads teams.
     *
     * @param node the tree
     * @return the teams
     */
    public static List<Team> readTeams(JsonNode node) {
        return items(node, ConfigurationCodec::readTeam);
    }

    static JsonNode writeTeam(Team team) {
        ObjectNode node = NODES.objectNode();
        node.put("id", team.id().value());
        node.set("keySha256", texts(team.keySha256()));
        ObjectNode limits = node.putObject("limits");
        limits.put("requestsPerSecond", team.limits().requestsPerSecond());
        limits.put("burstRequests", team.limits().burstRequests());
        limits.put("concurrentRequests", team.limits().concurrentRequests());
        limits.put("weight", team.limits().weight());
        node.set("models", texts(team.models()));
        node.set("services", texts(team.services()));
        node.put("homeRegion", team.homeRegion());
        return node;
    }

    static JsonNode writeModel(Model model) {
        ObjectNode node = NODES.objectNode();
        node.put("name", model.name());
        node.put("activeVersion", model.activeVersion());
        node.set("versions", list(model.versions(), ConfigurationCodec::writeVersion));
        return node;
    }

    static JsonNode writeService(Service service) {
        ObjectNode node = NODES.objectNode();
        node.put("name", service.name());
        node.set("upstreams", upstreamIds(service.upstreams()));
        node.set("repeatableMethods", texts(service.repeatableMethods()));
        return node;
    }

    static JsonNode writeUpstream(Upstream upstream) {
        ObjectNode node = NODES.objectNode();
        node.put("id", upstream.id().value());
        node.put("kind", lower(upstream.kind()));
        node.put("dataCentre", upstream.dataCentre().value());
        node.put("address", upstream.address());
        node.put("state", lower(upstream.state()));
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
        node.set("adapters", texts(version.adapters()));
        node.set("upstreams", upstreamIds(version.upstreams()));
        return node;
    }

    private static Team readTeam(JsonNode node) {
        JsonNode limits = node.path("limits");
        return new Team(
                new TeamId(node.path("id").asText()),
                items(node.path("keySha256"), JsonNode::asText),
                new TeamLimits(
                        limits.path("requestsPerSecond").asDouble(),
                        limits.path("burstRequests").asInt(),
                        limits.path("concurrentRequests").asInt(),
                        limits.path("weight").asDouble()),
                items(node.path("models"), JsonNode::asText),
                items(node.path("services"), JsonNode::asText),
                node.path("homeRegion").asText());
    }

    private static Model readModel(JsonNode node) {
        return new Model(
                node.path("name").asText(),
                node.path("activeVersion").asText(),
                items(
                        node.path("versions"),
                        version -> new ModelVersion(
                                version.path("weightVersion").asText(),
                                items(version.path("adapters"), JsonNode::asText),
                                readUpstreamIds(version.path("upstreams")))));
    }

    private static Service readService(JsonNode node) {
        return new Service(
                node.path("name").asText(),
                readUpstreamIds(node.path("upstreams")),
                items(node.path("repeatableMethods"), JsonNode::asText));
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
        return items(node, item -> new UpstreamId(item.asText()));
    }

    private static ArrayNode upstreamIds(List<UpstreamId> ids) {
        return list(ids, id -> NODES.textNode(id.value()));
    }

    private static ArrayNode texts(List<String> texts) {
        return list(texts, NODES::textNode);
    }

    private static <T> ArrayNode list(List<T> items, Function<T, JsonNode> write) {
        ArrayNode node = NODES.arrayNode(items.size());
        items.forEach(item -> node.add(write.apply(item)));
        return node;
    }

    private static <T> List<T> items(JsonNode node, Function<JsonNode, T> read) {
        List<T> items = new ArrayList<>(node.size());
        node.forEach(item -> items.add(read.apply(item)));
        return items;
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
