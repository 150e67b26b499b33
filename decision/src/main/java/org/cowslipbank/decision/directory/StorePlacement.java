package org.cowslipbank.decision.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.StoreId;

/** Places the blocks of a prompt on stores by rendezvous hashing of the first block's key. */
public final class StorePlacement {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private StorePlacement() {}

    /**
     * Ranks the stores for a chain of blocks. All blocks of a chain are exported to the first store that accepts
     * exports. A reader queries the first store, and then the second one, because the first may have been added after
     * the export or may have been down at that time.
     *
     * @param root key of the chain's first block
     * @param stores the configured stores
     * @return the stores in descending order of their weight
     */
    public static List<StoreId> rank(BlockKey root, List<StoreId> stores) {
        long rootHash = HASHER.hashCharsToLong(root.hex());
        List<StoreId> ranked = new ArrayList<>(stores);
        ranked.sort(Comparator.comparingLong((StoreId store) -> weight(rootHash, store))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(ranked);
    }

    private static long weight(long rootHash, StoreId store) {
        return HASHER.hashLongLongToLong(rootHash, HASHER.hashCharsToLong(store.value()));
    }
}
