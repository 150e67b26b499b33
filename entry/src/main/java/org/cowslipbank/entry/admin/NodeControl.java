package org.cowslipbank.entry.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What operators may ask of the node itself. */
public interface NodeControl {
    /**
     * Tells whether the node takes new work.
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
     * Begins to drain the node.
     *
     * @return how long the node goes on serving, in milliseconds
     */
    long drain();
}
