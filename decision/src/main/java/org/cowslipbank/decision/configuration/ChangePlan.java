package org.cowslipbank.decision.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.cowslipbank.config.Configuration;
import org.cowslipbank.config.ConfigurationDifference;

/**
 * The writes that make up a configuration change. New values are created first. The swap of the root then puts them in
 * force together with the audit record, so neither exists without the other.
 *
 * @param newValues values to create before the root is swapped, by key
 * @param root the new root
 * @param replacedKeys keys of shards that the new root no longer refers to
 */
public record ChangePlan(Map<String, byte[]> newValues, ConfigurationRoot root, List<String> replacedKeys) {
    // Every change sends the root to every node, so its audit records are kept far below the largest value that the
    // key-value service accepts.
    private static final int MAX_AUDIT_BYTES = 8_000;
    private static final int MAX_DIFFERENCE_LINES = 20;
    private static final int MAX_DIFFERENCE_LINE_CHARS = 200;

    /**
     * Plans a change.
     *
     * @param base the root in force
     * @param before the configuration in force
     * @param after the new configuration, already validated
     * @param metadata who makes the change, when and why
     * @return the writes of the change
     */
    public static ChangePlan of(
            ConfigurationRoot base, Configuration before, Configuration after, ChangeMetadata metadata) {
        Map<String, byte[]> values = new LinkedHashMap<>();
        ConfigurationShards.Split split =
                ConfigurationShards.split(after, base.teams().size());
        ConfigurationRoot.ShardRef fleet = reuseOrCreateShard(base.fleet(), split.fleet(), metadata, values);
        List<ConfigurationRoot.ShardRef> teams = new ArrayList<>();
        boolean sameShardCount = split.teams().size() == base.teams().size();
        for (int i = 0; i < split.teams().size(); i++) {
            ConfigurationRoot.ShardRef old = sameShardCount ? base.teams().get(i) : null;
            teams.add(reuseOrCreateShard(old, split.teams().get(i), metadata, values));
        }
        long revision = base.revision() + 1;
        AuditRecord record = auditRecord(revision, before, after, metadata);
        ConfigurationRoot trimmed = moveAuditToChunk(base, metadata, values);
        List<AuditRecord> audit = new ArrayList<>(trimmed.audit());
        audit.add(record);
        ConfigurationRoot root =
                new ConfigurationRoot(revision, metadata.changeId(), fleet, teams, trimmed.auditKey(), audit);
        Set<String> kept =
                root.shards().stream().map(ConfigurationRoot.ShardRef::key).collect(Collectors.toSet());
        List<String> replacedKeys = base.shards().stream()
                .map(ConfigurationRoot.ShardRef::key)
                .filter(key -> !kept.contains(key))
                .toList();
        return new ChangePlan(values, root, replacedKeys);
    }

    private static ConfigurationRoot.ShardRef reuseOrCreateShard(
            ConfigurationRoot.ShardRef old, byte[] bytes, ChangeMetadata metadata, Map<String, byte[]> values) {
        String sha256 = ConfigurationShards.sha256(bytes);
        if (old != null && old.sha256().equals(sha256)) {
            return old;
        }
        ConfigurationRoot.ShardRef shard = new ConfigurationRoot.ShardRef(sha256, metadata.changeId());
        values.put(shard.key(), bytes);
        return shard;
    }

    private static AuditRecord auditRecord(
            long revision, Configuration before, Configuration after, ChangeMetadata metadata) {
        List<String> difference = ConfigurationDifference.between(before, after);
        List<String> first = difference.stream()
                .limit(MAX_DIFFERENCE_LINES)
                .map(line -> line.substring(0, Math.min(line.length(), MAX_DIFFERENCE_LINE_CHARS)))
                .toList();
        return new AuditRecord(
                revision,
                metadata.changeId(),
                metadata.operator(),
                metadata.reason(),
                metadata.wallMillis(),
                first,
                difference.size(),
                metadata.mayLag());
    }

    private static ConfigurationRoot moveAuditToChunk(
            ConfigurationRoot base, ChangeMetadata metadata, Map<String, byte[]> values) {
        AuditChunk chunk = new AuditChunk(base.auditKey(), base.audit());
        byte[] bytes = ConfigurationShards.write(chunk);
        if (bytes.length <= MAX_AUDIT_BYTES) {
            return base;
        }
        String key = "configuration/audit/" + base.revision() + "/" + metadata.changeId();
        values.put(key, bytes);
        return new ConfigurationRoot(base.revision(), base.changeId(), base.fleet(), base.teams(), key, List.of());
    }
}
