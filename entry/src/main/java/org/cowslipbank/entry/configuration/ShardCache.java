package org.cowslipbank.entry.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.config.Team;
import org.cowslipbank.decision.configuration.ConfigurationRoot;
import org.cowslipbank.decision.configuration.ConfigurationShards;

/** Cache of configuration shards and the teams parsed from them. Used by the control thread only. */
final class ShardCache {
    private final Map<String, byte[]> bytes = new HashMap<>();
    private final Map<String, List<Team>> teams = new HashMap<>();

    byte[] get(String key) {
        return bytes.get(key);
    }

    /** Stores a shard from any source if its SHA-256 digest matches; returns false otherwise. */
    boolean putIfDigestMatches(ConfigurationRoot.ShardRef shard, byte[] value) {
        if (!ConfigurationShards.sha256(value).equals(shard.sha256())) {
            return false;
        }
        bytes.put(shard.key(), value);
        return true;
    }

    List<ConfigurationRoot.ShardRef> missing(ConfigurationRoot root) {
        return root.shards().stream()
                .filter(shard -> !bytes.containsKey(shard.key()))
                .toList();
    }

    Configuration assemble(ConfigurationRoot root) {
        if (root.fleet() == null) {
            return Configurations.empty();
        }
        List<List<Team>> parsed = root.teams().stream()
                .map(shard -> teams.computeIfAbsent(shard.key(), key -> ConfigurationShards.readTeams(bytes.get(key))))
                .toList();
        return ConfigurationShards.assemble(root, bytes.get(root.fleet().key()), parsed);
    }

    void retainOnly(ConfigurationRoot root) {
        Set<String> keys = new HashSet<>();
        root.shards().forEach(shard -> keys.add(shard.key()));
        bytes.keySet().retainAll(keys);
        teams.keySet().retainAll(keys);
    }
}
