package org.cowslipbank.bench.routing;

import java.util.List;
import java.util.stream.IntStream;

import org.cowslipbank.model.BlockIdentity;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.BlockRef;
import org.cowslipbank.model.ModelRef;
import org.cowslipbank.model.StoreId;
import org.cowslipbank.model.StoreTier;
import org.cowslipbank.model.TeamId;

/** State of one session: the blocks of its longest possible prompt, and how many of them a store holds. */
final class Session {
    static final ModelRef MODEL = new ModelRef("model", "v1", "");
    private static final int MAX_BLOCKS = 41;

    final int id;
    final int team;
    final TeamId teamId;
    final String key;
    final List<BlockIdentity> chain;
    int node;
    int store = -1;
    int storedBlocks;
    StoreTier tier = StoreTier.MEMORY;
    boolean exporting;
    double lastRunEndMillis = -1;
    /** Absence that the node has already counted in its history, negative while a run is in progress. */
    long countedAbsenceMillis = -1;

    long nextReturnMillis = Long.MAX_VALUE;
    private List<BlockRef> blockRefs = List.of();
    private int blockRefsStore = -1;
    private StoreTier blockRefsTier;

    Session(int id, int team) {
        this.id = id;
        this.team = team;
        this.teamId = new TeamId("team" + team);
        this.key = teamId + "/" + id;
        this.chain = IntStream.range(0, MAX_BLOCKS)
                .mapToObj(i -> new BlockIdentity(teamId, MODEL, i, new BlockKey(id + "." + i)))
                .toList();
    }

    /** Returns references to the stored leading blocks, at most {@code limit}. */
    List<BlockRef> blockRefs(List<StoreId> stores, long blockBytes, int limit) {
        if (blockRefs.size() < storedBlocks || blockRefsStore != store || blockRefsTier != tier) {
            blockRefs = chain.subList(0, storedBlocks).stream()
                    .map(identity -> new BlockRef(stores.get(store), identity, 1, blockBytes, id, tier))
                    .toList();
            blockRefsStore = store;
            blockRefsTier = tier;
        }
        return blockRefs.subList(0, Math.min(limit, storedBlocks));
    }
}
