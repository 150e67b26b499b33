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
 * The writes of a change. New values are created first; the swap of the root puts them in force together with the audit
 * record, so neither exists without the other.
 *
 * @param newValues values to create before the root is swapped, by key
 * @param root the new root
 * @param replacedKeys shards that no later root names
 */
public record ChangePlan(Map<String, byte[]> newValues, RootValue root, List<String> replacedKeys) {
    // The root is sent to every node at every change, so its audit tail is kept far below the largest value.
    private static final int MAX_AUDIT_BYTES = 8_000;
    private static final int MAX_DIFFERENCE_LINES = 20;
    private static final int MAX_LINE_CHARS = 200;

    /**
     * Plans a change.
     *
     * @param base the root in force
     * @param before the configuration in force
     * @param after the new configuration, already checked
     * @param order who makes the change, and why
     * @return the plan
     */
    public static ChangePlan of(RootValue base, Configuration before, Configuration after, ChangeOrder order) {
        Map<String, byte[]> values = new LinkedHashMap<>();
        ConfigurationShards.Split split =
                ConfigurationShards.split(after, base.teams().size());
        RootValue.ShardRef fleet = shard(base.fleet(), split.fleet(), order, values);
        List<RootValue.ShardRef> teams = new ArrayList<>();
        boolean sameCount = split.teams().size() == base.teams().size();
        for (int i = 0; i < split.teams().size(); i++) {
            RootValue.ShardRef old = sameCount ? base.teams().get(i) : null;
            teams.add(shard(old, split.teams().get(i), order, values));
        }
        long revision = base.revision() + 1;
        AuditRecord record = record(revision, before, after, order);
        RootValue moved = moveOldAudit(base, order, values);
        List<AuditRecord> audit = new ArrayList<>(moved.audit());
        audit.add(record);
        RootValue root = new RootValue(revision, order.changeId(), fleet, teams, moved.auditKey(), audit);
        Set<String> kept = root.shards().stream().map(RootValue.ShardRef::key).collect(Collectors.toSet());
        List<String> replaced = base.shards().stream()
                .map(RootValue.ShardRef::key)
                .filter(key -> !kept.contains(key))
                .toList();
        return new ChangePlan(values, root, replaced);
    }

    private static RootValue.ShardRef shard(
            RootValue.ShardRef old, byte[] bytes, ChangeOrder order, Map<String, byte[]> values) {
        String sha256 = ConfigurationShards.sha256(bytes);
        if (old != null && old.sha256().equals(sha256)) {
            return old;
        }
        RootValue.ShardRef shard = new RootValue.ShardRef(sha256, order.changeId());
        values.put(shard.key(), bytes);
        return shard;
    }

    private static AuditRecord record(long revision, Configuration before, Configuration after, ChangeOrder order) {
        List<String> difference = ConfigurationDifference.between(before, after);
        List<String> first = difference.stream()
                .limit(MAX_DIFFERENCE_LINES)
                .map(line -> line.substring(0, Math.min(line.length(), MAX_LINE_CHARS)))
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

    private static RootValue moveOldAudit(RootValue base, ChangeOrder order, Map<String, byte[]> values) {
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
