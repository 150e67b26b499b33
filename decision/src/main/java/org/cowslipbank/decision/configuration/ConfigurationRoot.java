package org.cowslipbank.decision.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * Root of the stored configuration, which refers to its shards.
 *
 * @param revision the revision, from one; zero before the first change
 * @param changeId identifier of the change that created the revision
 * @param fleet the shard with everything except the teams, null before the first change
 * @param teams the shards with the teams; their number is a power of two
 * @param auditKey key of the latest chunk of older audit records, empty if there is none
 * @param audit the latest audit records, oldest first; the last one belongs to this revision
 */
public record ConfigurationRoot(
        long revision,
        String changeId,
        ShardRef fleet,
        List<ShardRef> teams,
        String auditKey,
        List<AuditRecord> audit) {
    /** The root before the first change. */
    public static final ConfigurationRoot EMPTY = new ConfigurationRoot(0, "", null, List.of(), "", List.of());

    /**
     * Reference to a shard.
     *
     * @param sha256 SHA-256 of the shard's bytes in lower-case hexadecimal
     * @param changeId identifier of the change that wrote the shard
     */
    public record ShardRef(String sha256, String changeId) {
        /**
         * Returns the shard's key in the key-value service.
         *
         * @return the key
         */
        public String key() {
            return "configuration/shard/" + sha256 + "/" + changeId;
        }
    }

    /** Makes unmodifiable copies of the lists; null elements are rejected with NullPointerException. */
    public ConfigurationRoot {
        teams = List.copyOf(teams);
        audit = List.copyOf(audit);
    }

    /**
     * Returns references to all shards.
     *
     * @return the fleet shard, if there is one, followed by the team shards
     */
    public List<ShardRef> shards() {
        List<ShardRef> shards = new ArrayList<>(teams);
        if (fleet != null) {
            shards.add(0, fleet);
        }
        return shards;
    }

    /**
     * Finds the audit record of a change among the records in the root; older ones are in audit chunks.
     *
     * @param id identifier of the change
     * @return the record, or null if the root does not hold it
     */
    public AuditRecord find(String id) {
        return audit.stream()
                .filter(record -> record.changeId().equals(id))
                .findFirst()
                .orElse(null);
    }
}
