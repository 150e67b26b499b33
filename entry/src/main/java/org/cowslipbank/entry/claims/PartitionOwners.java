package org.cowslipbank.entry.claims;

import java.util.List;

import org.cowslipbank.model.VmId;

/** Says which nodes work on a partition. Nodes may disagree; the log is safe with any number of owners. */
@FunctionalInterface
public interface PartitionOwners {
    /**
     * Returns the nodes to ask.
     *
     * @param partition the partition
     * @return the owner first, then the node to ask if the owner cannot be reached; not empty
     */
    List<VmId> ownersOf(int partition);
}
