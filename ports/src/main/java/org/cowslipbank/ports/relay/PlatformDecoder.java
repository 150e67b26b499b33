package org.cowslipbank.ports.relay;

import org.cowslipbank.model.relay.PlatformRecord;
import org.cowslipbank.model.relay.StoreItem;

/** Decodes the items of the metadata store and defines their key prefixes. */
public interface PlatformDecoder {
    /**
     * Returns the common key prefix of all items that a node watches.
     *
     * @return the prefix
     */
    String watchedPrefix();

    /**
     * Returns the key prefix of the items that nodes write themselves.
     *
     * @return the prefix, with a slash at its end
     */
    String nodeItemPrefix();

    /**
     * Decodes an item. A malformed item yields a {@link PlatformRecord.Unreadable}.
     *
     * @param item the item, present or removed
     * @return the decoded item
     */
    PlatformRecord decode(StoreItem item);
}
