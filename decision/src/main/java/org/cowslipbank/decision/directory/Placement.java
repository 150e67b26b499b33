package org.cowslipbank.decision.directory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.cowslipbank.model.BlockKey;
import org.cowslipbank.model.StoreId;

/** Places the blocks of a prompt on stores by rendezvous hash of the first block's key. */
public final class Placement {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private Placement() {}

    /**
     * Ranks stores for a chain. All blocks of a chain go to the first store that takes exports; a reader asks the first
     * one, and the second one if the first has been added or was down at the time of the export.
     *
     * @param root key of the chain's first block
     * @param stores the configured stores
     * @return the stores, highest weight first
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
