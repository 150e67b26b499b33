package org.cowslipbank.ports.relay;

import org.cowslipbank.model.relay.PlatformRecord;
import org.cowslipbank.model.relay.StoreItem;

/** Names and decodes the items of the metadata store. */
public interface PlatformDecoder {
    /**
     * Returns the prefix under which all items lie that a node follows.
     *
     * @return the prefix
     */
    String followedPrefix();

    /**
     * Returns the prefix of the nodes' own items.
     *
     * @return the prefix, with a slash at its end
     */
    String ownPrefix();

    /**
     * Decodes an item. Malformed items give a {@link PlatformRecord.Unreadable}.
     *
     * @param item the item, present or removed
     * @return what it means
     */
    PlatformRecord decode(StoreItem item);
}
