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
public record ChangePlan(Map<String, byte[]> newValues, RootValue root, List<String> replacedKeys) {
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
     * @param order who makes the change, when and why
     * @return the writes of the change
     */
    public static ChangePlan of(RootValue base, Configuration before, Configuration after, ChangeOrder order) {
        Map<String, byte[]> values = new LinkedHashMap<>();
        ConfigurationShards.Split split =
                ConfigurationShards.split(after, base.teams().size());
        RootValue.ShardRef fleet = reuseOrCreateShard(base.fleet(), split.fleet(), order, values);
        List<RootValue.ShardRef> teams = new ArrayList<>();
        boolean sameShardCount = split.teams().size() == base.teams().size();
        for (int i = 0; i < split.teams().size(); i++) {
            RootValue.ShardRef old = sameShardCount ? base.teams().get(i) : null;
            teams.add(reuseOrCreateShard(old, split.teams().get(i), order, values));
        }
        long revision = base.revision() + 1;
        AuditRecord record = auditRecord(revision, before, after, order);
        RootValue trimmed = moveAuditToChunk(base, order, values);
        List<AuditRecord> audit = new ArrayList<>(trimmed.audit());
        audit.add(record);
        RootValue root = new RootValue(revision, order.changeId(), fleet, teams, trimmed.auditKey(), audit);
        Set<String> kept = root.shards().stream().map(RootValue.ShardRef::key).collect(Collectors.toSet());
        List<String> replacedKeys = base.shards().stream()
                .map(RootValue.ShardRef::key)
                .filter(key -> !kept.contains(key))
                .toList();
        return new ChangePlan(values, root, replacedKeys);
    }

    private static RootValue.ShardRef reuseOrCreateShard(
            RootValue.ShardRef old, byte[] bytes, ChangeOrder order, Map<String, byte[]> values) {
        String sha256 = ConfigurationShards.sha256(bytes);
        if (old != null && old.sha256().equals(sha256)) {
            return old;
        }
        RootValue.ShardRef shard = new RootValue.ShardRef(sha256, order.changeId());
        values.put(shard.key(), bytes);
        return shard;
    }

    private static AuditRecord auditRecord(
            long revision, Configuration before, Configuration after, ChangeOrder order) {
        List<String> difference = ConfigurationDifference.between(before, after);
        List<String> first = difference.stream()
                .limit(MAX_DIFFERENCE_LINES)
                .map(line -> line.substring(0, Math.min(line.length(), MAX_DIFFERENCE_LINE_CHARS)))
                .toList();
        return new AuditRecord(
                revision,
                order.changeId(),
                order.operator(),
                order.reason(),
                order.wallMillis(),
                first,
                difference.size(),
                order.mayLag());
    }

    private static RootValue moveAuditToChunk(RootValue base, ChangeOrder order, Map<String, byte[]> values) {
        AuditChunk chunk = new AuditChunk(base.auditKey(), base.audit());
        byte[] bytes = ConfigurationShards.write(chunk);
        if (bytes.length <= MAX_AUDIT_BYTES) {
            return base;
        }
        String key = "configuration/audit/" + base.revision() + "/" + order.changeId();
        values.put(key, bytes);
        return new RootValue(base.revision(), base.changeId(), base.fleet(), base.teams(), key, List.of());
    }
}
