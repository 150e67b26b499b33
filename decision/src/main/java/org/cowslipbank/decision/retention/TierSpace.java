package org.cowslipbank.decision.retention;

/**
 * Space in one tier of a store.
 *
 * @param usedBytes bytes in use or reserved for exports in flight
 * @param capacityBytes capacity in bytes
 */
public record TierSpace(long usedBytes, long capacityBytes) {
    boolean accepts(long bytes, double limitShare) {
        return usedBytes + bytes <= limitShare * capacityBytes;
    }
}
