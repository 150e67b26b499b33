package org.cowslipbank.model.relay;

/**
 * An item of the platform's metadata store.
 *
 * @param key the key
 * @param value the value's bytes; treated as immutable; null if the item was removed
 * @param revision revision of its last change
 * @param createRevision revision of its creation
 * @param lease its lease, zero without one
 */
public record StoreItem(String key, byte[] value, long revision, long createRevision, long lease) {
    /**
     * Tells whether the item was removed.
     *
     * @return true if it was
     */
    public boolean isRemoved() {
        return value == null;
    }
}
