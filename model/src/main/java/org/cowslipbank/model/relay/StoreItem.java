package org.cowslipbank.model.relay;

/**
 * A key-value item of the platform's metadata store.
 *
 * @param key the key
 * @param value the value's bytes; treated as immutable; null if the item was removed
 * @param revision revision of its last change
 * @param createRevision revision of its creation
 * @param lease identifier of its lease, zero for none
 */
public record StoreItem(String key, byte[] value, long revision, long createRevision, long lease) {
    /**
     * Returns whether the item was removed.
     *
     * @return true if it was removed
     */
    public boolean isRemoved() {
        return value == null;
    }
}
