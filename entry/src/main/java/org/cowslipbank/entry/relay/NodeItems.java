package org.cowslipbank.entry.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cowslipbank.decision.relay.ReportSource;
import org.cowslipbank.decision.relay.SoftwareVersions;
import org.cowslipbank.decision.relay.StreamOrigins;
import org.cowslipbank.decision.suspects.CrashCauses.Suspect;
import org.cowslipbank.entry.relay.PlatformView.RegisteredNode;
import org.cowslipbank.model.relay.IpPort;

/** Keys and encoding of the items that nodes themselves write into the metadata store. */
final class NodeItems {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String NODES = "nodes/";
    private static final String CRASHES = "crashes/";
    private static final String SOUND = "sound/";
    private static final String PROBES = "probes/";
    private static final String ORIGINS = "streams/";
    private static final String SOFTWARE = "software/";
    private static final Pattern ORIGINS_KEY = Pattern.compile("(?<node>[^/]+)/[^/]*\\.(?<number>[0-9]{1,18})");
    private static final double MAX_CORES = 100_000;

    private final String prefix;

    NodeItems(String prefix) {
        this.prefix = prefix;
    }

    /**
     * The leader's announcement of the engines that are about to load weights.
     *
     * @param by value of the leader key of the node that announces
     * @param serverIds identifiers of the engines
     */
    record RolloutAnnouncement(String by, Set<String> serverIds) {}

    /**
     * Key of a node's report on the crash of an upstream.
     *
     * @param node the node's name
     * @param incarnation the upstream's incarnation
     */
    record CrashKey(String node, String incarnation) {}

    String nodeKey(String name) {
        return prefix + NODES + name;
    }

    String leaderKey() {
        return prefix + "leader";
    }

    /** Key of a report on stream origins; the lease distinguishes a node's reports from those before its restart. */
    String originsKey(String node, long lease, long number) {
        return prefix + ORIGINS + node + "/" + lease + "." + number;
    }

    boolean isOriginsKey(String key) {
        return key.startsWith(prefix + ORIGINS);
    }

    /**
     * Returns whose report on stream origins an item is. One whose key has no number counts as the only one of its node.
     *
     * @param key the item's key
     * @param revision the item's revision
     * @return the node and the order of its reports
     */
    ReportSource parseOriginsKey(String key, long revision) {
        Matcher parts = ORIGINS_KEY.matcher(key.substring((prefix + ORIGINS).length()));
        return parts.matches()
                ? new ReportSource(parts.group("node"), Long.parseLong(parts.group("number")), revision)
                : new ReportSource(key, 0, revision);
    }

    /** Key of the record of a software version; the names themselves may be longer than a key. */
    String softwareKey(SoftwareVersions.Version version) {
        byte[] names = (version.service() + "\n" + version.softwareVersion()).getBytes(StandardCharsets.UTF_8);
        return prefix + SOFTWARE + UUID.nameUUIDFromBytes(names);
    }

    boolean isSoftwareKey(String key) {
        return key.startsWith(prefix + SOFTWARE);
    }

    /** Key of the mark that names the era of the store up to which no stream's software version is missing. */
    String completeStreamsEraKey() {
        return prefix + "complete-streams-era";
    }

    /** Key of the mark that names the era of the store up to which no writes are missing. */
    String completeEraKey() {
        return prefix + "complete-era";
    }

    String rolloutKey() {
        return prefix + "rollout";
    }

    String crashKey(String node, String incarnation) {
        return prefix + CRASHES + node + "/" + incarnation;
    }

    /** Key of a node's evidence for suspects; the lease distinguishes it from that before a restart. */
    String soundKey(String node, long lease) {
        return prefix + SOUND + node + "/" + lease;
    }

    boolean isSoundKey(String key) {
        return key.startsWith(prefix + SOUND);
    }

    /** Key of the number of probes that a node has sent; the lease distinguishes it from that before a restart. */
    String probesKey(String node, long lease) {
        return prefix + PROBES + node + "/" + lease;
    }

    boolean isProbesKey(String key) {
        return key.startsWith(prefix + PROBES);
    }

    Optional<String> parseNodeName(String key) {
        String start = prefix + NODES;
        return key.startsWith(start) ? Optional.of(key.substring(start.length())) : Optional.empty();
    }

    Optional<CrashKey> parseCrashKey(String key) {
        String start = prefix + CRASHES;
        int slash = key.indexOf('/', Math.min(key.length(), start.length()));
        return key.startsWith(start) && slash > 0
                ? Optional.of(new CrashKey(key.substring(start.length(), slash), key.substring(slash + 1)))
                : Optional.empty();
    }

    static byte[] encodeNode(RegisteredNode node) {
        ObjectNode value = MAPPER.createObjectNode();
        value.put("address", node.address())
                .put("dataCentre", node.dataCentre())
                .put("digestAddress", node.digestAddress())
                .put("feedAddress", node.feedAddress())
                .put("forwardingAddress", node.forwardingAddress())
                .put("linkBytesPerSecond", node.linkBytesPerSecond())
                .put("processorCores", node.processorCores())
                .put("cutOff", node.cutOff());
        return encodeJson(value);
    }

    static RegisteredNode decodeNode(String name, byte[] value) throws IOException {
        JsonNode tree = MAPPER.readTree(value);
        requireUsable(name, tree);
        return new RegisteredNode(
                name,
                tree.path("address").asText(),
                tree.path("dataCentre").asText(),
                tree.path("digestAddress").asText(),
                tree.path("feedAddress").asText(),
                tree.path("forwardingAddress").asText(),
                tree.path("linkBytesPerSecond").asLong(),
                tree.path("processorCores").asDouble(),
                tree.path("cutOff").asBoolean());
    }

    private static void requireUsable(String name, JsonNode tree) throws IOException {
        if (name.isEmpty()
                || name.contains("/")
                || !IpPort.isValid(tree.path("address").asText())) {
            throw new IOException("registration of a node lacks its name, or its address is not IP:port");
        }
        for (String field : List.of("digestAddress", "feedAddress", "forwardingAddress")) {
            String address = tree.path(field).asText();
            if (!address.isEmpty() && !IpPort.isValid(address)) {
                throw new IOException(field + " of a node is not IP:port");
            }
        }
        double cores = tree.path("processorCores").asDouble();
        if (!(cores >= 0 && cores <= MAX_CORES)) {
            throw new IOException("processorCores of a node is no number of cores");
        }
    }

    static byte[] encodeRollout(RolloutAnnouncement rollout) {
        ObjectNode value = MAPPER.createObjectNode();
        value.put("by", rollout.by());
        ArrayNode ids = value.putArray("switching");
        rollout.serverIds().forEach(ids::add);
        return encodeJson(value);
    }

    static RolloutAnnouncement decodeRollout(byte[] value) throws IOException {
        JsonNode tree = MAPPER.readTree(value);
        Set<String> ids = new HashSet<>();
        tree.path("switching").forEach(id -> ids.add(id.asText()));
        return new RolloutAnnouncement(tree.path("by").asText(), ids);
    }

    static byte[] encodeSuspects(Set<Suspect> suspects) {
        ObjectNode value = MAPPER.createObjectNode();
        suspects.forEach(suspect -> value.put(suspect.id(), suspect.depth()));
        return encodeJson(value);
    }

    static Set<Suspect> decodeSuspects(byte[] value) throws IOException {
        Set<Suspect> suspects = new HashSet<>();
        MAPPER.readTree(value)
                .fields()
                .forEachRemaining(field -> suspects.add(
                        new Suspect(field.getKey(), field.getValue().asInt())));
        return suspects;
    }

    /** Encodes a number for each suspect: a revision of the store, or how many probes were sent. */
    static byte[] encodeNumbers(Map<String, Long> bySuspect) {
        ObjectNode value = MAPPER.createObjectNode();
        bySuspect.forEach(value::put);
        return encodeJson(value);
    }

    static Map<String, Long> decodeNumbers(byte[] value) throws IOException {
        Map<String, Long> bySuspect = new HashMap<>();
        MAPPER.readTree(value)
                .fields()
                .forEachRemaining(
                        field -> bySuspect.put(field.getKey(), field.getValue().asLong()));
        return bySuspect;
    }

    static byte[] encodeOrigins(List<StreamOrigins.Report> reports) {
        ObjectNode value = MAPPER.createObjectNode();
        for (StreamOrigins.Report report : reports) {
            ArrayNode requests = value.withObjectProperty(report.service()).putArray(report.softwareVersion());
            report.requests().forEach(requests::add);
        }
        return encodeJson(value);
    }

    static List<StreamOrigins.Report> decodeOrigins(byte[] value) throws IOException {
        List<StreamOrigins.Report> reports = new ArrayList<>();
        MAPPER.readTree(value)
                .fields()
                .forEachRemaining(service -> service.getValue().fields().forEachRemaining(version -> {
                    List<String> requests = new ArrayList<>();
                    version.getValue().forEach(request -> requests.add(request.asText()));
                    reports.add(new StreamOrigins.Report(service.getKey(), version.getKey(), requests));
                }));
        return reports;
    }

    static byte[] encodeSoftware(SoftwareVersions.Version version) {
        ObjectNode value = MAPPER.createObjectNode();
        value.put("service", version.service()).put("softwareVersion", version.softwareVersion());
        return encodeJson(value);
    }

    static SoftwareVersions.Version decodeSoftware(byte[] value) throws IOException {
        JsonNode tree = MAPPER.readTree(value);
        if (!tree.path("service").isTextual() || !tree.path("softwareVersion").isTextual()) {
            throw new IOException("record of a software version lacks the service or the version");
        }
        return new SoftwareVersions.Version(
                tree.path("service").asText(), tree.path("softwareVersion").asText());
    }

    static byte[] encodeEra(long era) {
        return encodeText(Long.toString(era));
    }

    static OptionalLong decodeEra(byte[] value) {
        String text = decodeText(value);
        return text.matches("[0-9]{1,18}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }

    static byte[] encodeText(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String decodeText(byte[] value) {
        return new String(value, StandardCharsets.UTF_8);
    }

    private static byte[] encodeJson(ObjectNode value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode item for the metadata store as JSON", e);
        }
    }
}
