package org.cowslipbank.decision.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * The root value of the configuration.
 *
 * @param revision the revision, from one; zero before the first change
 * @param changeId identifier of the change that made it
 * @param fleet the shard with everything but the teams, null before the first change
 * @param teams the shards of teams; their number is a power of two
 * @param auditKey key of the latest chunk of older audit records, empty if there is none
 * @param audit the latest audit records, oldest first; the last one is that of this revision
 */
public record RootValue(
        long revision,
        String changeId,
        ShardRef fleet,
        List<ShardRef> teams,
        String auditKey,
        List<AuditRecord> audit) {
    /** The root before the first change. */
    public static final RootValue EMPTY = new RootValue(0, "", null, List.of(), "", List.of());

    /**
     * Names a shard.
     *
     * @param sha256 digest of its bytes in lower-case hexadecimal
     * @param changeId identifier of the change that wrote it
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

    /** Copies the lists. */
    public RootValue {
        teams = List.copyOf(teams);
        audit = List.copyOf(audit);
    }

    /**
     * Returns all shards.
     *
     * @return the shard of the fleet, if there is one, and those of the teams
     */
    public List<ShardRef> shards() {
        List<ShardRef> shards = new ArrayList<>(teams);
        if (fleet != null) {
            shards.add(0, fleet);
        }
        return shards;
    }

    /**
     * Finds the record of a change among those in the root.
     *
     * @param id the change's identifier
     * @return the record, or null
     */
    public AuditRecord find(String id) {
        return audit.stream()
                .filter(record -> record.changeId().equals(id))
                .findFirst()
                .orElse(null);
    }
}
