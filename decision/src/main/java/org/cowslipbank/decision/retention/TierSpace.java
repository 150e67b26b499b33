package org.cowslipbank.decision.retention;

/**
 * Space of one tier of a store.
 *
 * @param usedBytes bytes used or promised to exports in flight
 * @param capacityBytes capacity in bytes
 */
public record TierSpace(long usedBytes, long capacityBytes) {
    boolean accepts(long bytes, double limitShare) {
        return usedBytes + bytes <= limitShare * capacityBytes;
    }
}
