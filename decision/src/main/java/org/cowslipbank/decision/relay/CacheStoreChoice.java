package org.cowslipbank.decision.relay;

import java.util.Collection;
import java.util.Optional;

import org.cowslipbank.decision.hashing.Rendezvous;
import org.cowslipbank.model.relay.CacheStore;

/** Spreads the parts of prompts over the cache stores. */
public final class CacheStoreChoice {
    private CacheStoreChoice() {}

    /**
     * Returns the store responsible for a part. All nodes compute the same one; larger stores get more parts.
     *
     * @param scope the cache scope
     * @param partId the part's identifier
     * @param stores the configured stores
     * @return the store, or empty if no store is configured
     */
    public static Optional<CacheStore> storeOf(String scope, String partId, Collection<CacheStore> stores) {
        long keyHash = Rendezvous.hash(Rendezvous.key(scope, partId));
        CacheStore best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (CacheStore store : stores) {
            // Weighted rendezvous hashing after Schindelhauer and Schomaker, "Weighted distributed hash tables".
            double unit = ((Rendezvous.weight(keyHash, Rendezvous.hash(store.name())) >>> 11) + 0.5) * 0x1p-53;
            double score = store.capacityTokens() / -Math.log(unit);
            if (score > bestScore) {
                bestScore = score;
                best = store;
            }
        }
        return Optional.ofNullable(best);
    }
}
