package org.cowslipbank.entry.configuration;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.Configurations;
import org.cowslipbank.config.Team;
import org.cowslipbank.decision.configuration.ConfigurationShards;
import org.cowslipbank.decision.configuration.RootValue;

/** The shards that a node holds, with the teams parsed from them. Used by the control thread alone. */
final class ShardCache {
    private final Map<String, byte[]> bytes = new HashMap<>();
    private final Map<String, List<Team>> teams = new HashMap<>();

    byte[] get(String key) {
        return bytes.get(key);
    }

    /** Takes a shard, whoever sent it, if its digest is right. */
    boolean offer(RootValue.ShardRef shard, byte[] value) {
        if (!ConfigurationShards.sha256(value).equals(shard.sha256())) {
            return false;
        }
        bytes.put(shard.key(), value);
        return true;
    }

    List<RootValue.ShardRef> missing(RootValue root) {
        return root.shards().stream()
                .filter(shard -> !bytes.containsKey(shard.key()))
                .toList();
    }

    Configuration assemble(RootValue root) {
        if (root.fleet() == null) {
            return Configurations.empty();
        }
        List<List<Team>> parsed = root.teams().stream()
                .map(shard -> teams.computeIfAbsent(shard.key(), key -> ConfigurationShards.readTeams(bytes.get(key))))
                .toList();
        return ConfigurationShards.assemble(root, bytes.get(root.fleet().key()), parsed);
    }

    void retain(RootValue root) {
        Set<String> keys = new HashSet<>();
        root.shards().forEach(shard -> keys.add(shard.key()));
        bytes.keySet().retainAll(keys);
        teams.keySet().retainAll(keys);
    }
}
