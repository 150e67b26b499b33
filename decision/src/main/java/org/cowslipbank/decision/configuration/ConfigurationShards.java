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

/** Splits a configuration into shards, assembles it from them, and reads and writes the values. */
public final class ConfigurationShards {
    /** Key of the root value. */
    public static final String ROOT_KEY = "configuration/root";

    // A change of one team sends its shard to every node; at 340 nodes and 610 changes a day, 32 KB shards cost a node
    // about 230 bytes a second.
    private static final int MAX_TEAM_SHARD_BYTES = 32_000;
    private static final int MAX_SHARDS = 4_096;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ConfigurationShards() {}

    /**
     * A configuration split into the bytes of its shards.
     *
     * @param fleet everything but the teams
     * @param teams the teams; the number of shards is a power of two
     */
    public record Split(byte[] fleet, List<byte[]> teams) {}

    /**
     * Splits a configuration. A team's shard follows from its identifier. The number of shards is doubled while one is
     * too large, and never falls, so a change of one team writes one shard.
     *
     * @param configuration the configuration
     * @param fewestShards the number of shards of teams now, zero if there is none
     * @return the shards
     */
    public static Split split(Configuration configuration, int fewestShards) {
        Configuration ordered = ConfigurationPrinter.canonical(configuration);
        byte[] fleet = bytes(ConfigurationCodec.writeFleet(ordered));
        for (int shards = Math.max(1, fewestShards); ; shards *= 2) {
            List<byte[]> teams = splitTeams(ordered.teams(), shards);
            boolean fits = teams.stream().allMatch(shard -> shard.length <= MAX_TEAM_SHARD_BYTES);
            if (fits || shards >= MAX_SHARDS) {
                return new Split(fleet, teams);
            }
        }
    }

    /**
     * Assembles a configuration.
     *
     * @param root the root
     * @param fleet bytes of the fleet's shard
     * @param teams the teams of each shard of teams
     * @return the configuration
     * @throws UncheckedIOException if the fleet's shard is not valid
     */
    public static Configuration assemble(RootValue root, byte[] fleet, List<List<Team>> teams) {
        List<Team> all = new ArrayList<>();
        teams.forEach(all::addAll);
        all.sort(Comparator.comparing(Team::id));
        return ConfigurationCodec.readFleet(root.revision(), all, tree(fleet));
    }

    /**
     * Reads the teams of one shard.
     *
     * @param bytes the shard
     * @return the teams
     * @throws UncheckedIOException if the shard is not valid
     */
    public static List<Team> readTeams(byte[] bytes) {
        return ConfigurationCodec.readTeams(tree(bytes));
    }

    /**
     * Returns the digest by which a shard is checked, whoever sent it.
     *
     * @param bytes the bytes
     * @return SHA-256 in lower-case hexadecimal
     */
    public static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }

    /**
     * Writes a root or an audit chunk.
     *
     * @param value the value
     * @return its bytes
     */
    public static byte[] write(Record value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("a record of plain data can always be written", e);
        }
    }

    /**
     * Reads a root.
     *
     * @param bytes its bytes
     * @return the root
     * @throws UncheckedIOException if the bytes are not a root
     */
    public static RootValue readRoot(byte[] bytes) {
        return read(bytes, RootValue.class);
    }

    /**
     * Reads an audit chunk.
     *
     * @param bytes its bytes
     * @return the chunk
     * @throws UncheckedIOException if the bytes are not a chunk
     */
    public static AuditChunk readChunk(byte[] bytes) {
        return read(bytes, AuditChunk.class);
    }

    private static List<byte[]> splitTeams(List<Team> teams, int shards) {
        List<List<Team>> groups = new ArrayList<>();
        for (int i = 0; i < shards; i++) {
            groups.add(new ArrayList<>());
        }
        teams.forEach(team -> groups.get(shardOf(team, shards)).add(team));
        return groups.stream()
                .map(group -> bytes(ConfigurationCodec.writeTeams(group)))
                .toList();
    }

    private static int shardOf(Team team, int shards) {
        int hash = team.id().value().hashCode() * 0x9E3779B9;
        return (hash >>> 16 ^ hash) & (shards - 1);
    }

    private static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException("a JSON tree can always be written", e);
        }
    }

    private static JsonNode tree(byte[] bytes) {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T> T read(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
