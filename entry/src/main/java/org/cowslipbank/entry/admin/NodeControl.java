package org.cowslipbank.entry.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Node status and draining, as the operators' HTTP interface uses them. */
public interface NodeControl {
    /**
     * Returns whether the node accepts new work.
     *
     * @return true if it does
     */
    boolean isReady();

    /**
     * Returns the node's status.
     *
     * @return the status as JSON
     */
    ObjectNode status();

    /**
     * Starts draining: the node is withdrawn from address look-ups and announced as leaving.
     *
     * @return how long the node must keep serving, in milliseconds
     */
    long drain();
}
