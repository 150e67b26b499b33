package org.cowslipbank.entry.claims;

import java.util.List;

import org.cowslipbank.model.VmId;

/** Selects the owner of each claims partition. Nodes may disagree; the log is safe with any number of owners. */
@FunctionalInterface
public interface PartitionOwners {
    /**
     * Returns the nodes to send a partition's requests to, in order of preference.
     *
     * @param partition number of the claims partition
     * @return the owner, then the nodes to try if the owner cannot be reached; never empty
     */
    List<VmId> ownersOf(int partition);
}
