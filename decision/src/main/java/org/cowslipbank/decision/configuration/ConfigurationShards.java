package org.cowslipbank.decision.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationCodec;
import org.cowslipbank.config.ConfigurationPrinter;
import org.cowslipbank.config.Team;

/** Splits a configuration into shards, assembles it from shards, and encodes and decodes the stored values. */
public final class ConfigurationShards {
    /** Key of the configuration root in the key-value service. */
    public static final String ROOT_KEY = "configuration/root";

    // A change of one team sends its shard to every node; with 340 nodes and 610 changes a day, a node receives about
    // 230 bytes a second for shards of 32 KB.
    private static final int MAX_TEAM_SHARD_BYTES = 32_000;
    private static final int MAX_TEAM_SHARDS = 4_096;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ConfigurationShards() {}

    /**
     * A configuration as the encoded bytes of its shards.
     *
     * @param fleet the shard with everything except the teams
     * @param teams the shards with the teams; their number is a power of two
     */
    public record Split(byte[] fleet, List<byte[]> teams) {}

    /**
     * Splits a configuration. The hash of a team's identifier determines its shard. The number of shards is doubled
     * while a shard is too large and never decreases, so a change of one team usually writes one shard.
     *
     * @param configuration the configuration
     * @param minTeamShards current number of team shards, zero if there is none
     * @return the encoded shards
     */
    public static Split split(Configuration configuration, int minTeamShards) {
        Configuration canonical = ConfigurationPrinter.toCanonicalOrder(configuration);
        byte[] fleet = encodeTree(ConfigurationCodec.writeFleet(canonical));
        for (int shards = Math.max(1, minTeamShards); ; shards *= 2) {
            List<byte[]> teams = splitTeams(canonical.teams(), shards);
            boolean fits = teams.stream().allMatch(shard -> shard.length <= MAX_TEAM_SHARD_BYTES);
            if (fits || shards >= MAX_TEAM_SHARDS) {
                return new Split(fleet, teams);
            }
        }
    }

    /**
     * Assembles a configuration from its shards.
     *
     * @param root the root, which gives the revision
     * @param fleet bytes of the fleet shard
     * @param teams the decoded teams of each team shard
     * @return the configuration with its teams sorted by identifier
     * @throws UncheckedIOException if the fleet shard is not valid
     */
    public static Configuration assemble(ConfigurationRoot root, byte[] fleet, List<List<Team>> teams) {
        List<Team> allTeams = new ArrayList<>();
        teams.forEach(allTeams::addAll);
        allTeams.sort(Comparator.comparing(Team::id));
        return ConfigurationCodec.readFleet(root.revision(), allTeams, decodeTree(fleet));
    }

    /**
     * Decodes a team shard.
     *
     * @param bytes bytes of the shard
     * @return the teams
     * @throws UncheckedIOException if the shard is not valid
     */
    public static List<Team> readTeams(byte[] bytes) {
        return ConfigurationCodec.readTeams(decodeTree(bytes));
    }

    /**
     * Returns the digest with which a node verifies a shard, whether it came from a peer or from the key-value service.
     *
     * @param bytes bytes of the shard
     * @return SHA-256 in lower-case hexadecimal
     */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available; configuration shards cannot be verified", e);
        }
    }

    /**
     * Encodes a root or an audit chunk.
     *
     * @param value a {@link ConfigurationRoot} or {@link AuditChunk}
     * @return the JSON bytes
     */
    public static byte[] write(Record value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(
                    "cannot encode configuration value of type "
                            + value.getClass().getSimpleName(),
                    e);
        }
    }

    /**
     * Decodes a root.
     *
     * @param bytes the JSON bytes
     * @return the root
     * @throws UncheckedIOException if the bytes are not a valid root
     */
    public static ConfigurationRoot readRoot(byte[] bytes) {
        return decodeRecord(bytes, ConfigurationRoot.class);
    }

    /**
     * Decodes an audit chunk.
     *
     * @param bytes the JSON bytes
     * @return the chunk
     * @throws UncheckedIOException if the bytes are not a valid chunk
     */
    public static AuditChunk readChunk(byte[] bytes) {
        return decodeRecord(bytes, AuditChunk.class);
    }

    private static List<byte[]> splitTeams(List<Team> teams, int shards) {
        List<List<Team>> teamsByShard = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            teamsByShard.add(new ArrayList<>());
        }
        teams.forEach(team -> teamsByShard.get(shardIndex(team, shards)).add(team));
        return teamsByShard.stream()
                .map(group -> encodeTree(ConfigurationCodec.writeTeams(group)))
                .toList();
    }

    private static int shardIndex(Team team, int shards) {
        int hash = team.id().value().hashCode() * 0x9E3779B9;
        return (hash >>> 16 ^ hash) & (shards - 1);
    }

    private static byte[] encodeTree(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("cannot encode configuration shard", e);
        }
    }

    private static JsonNode decodeTree(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot decode configuration shard of " + bytes.length + " bytes", e);
        }
    }

    private static <T> T decodeRecord(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot decode configuration value of type " + type.getSimpleName(), e);
        }
    }
}
