package org.cowslipbank.entry.suspects;

import java.util.List;

import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;

/** Access to the fleet's nodes, as the handling of suspects needs it. */
public interface SuspectPeers {
    /**
     * Returns the identity of this node.
     *
     * @return this node's VM
     */
    VmId self();

    /**
     * Returns the node that runs the region's suspect arbiter.
     *
     * @return the arbiter's VM, possibly this node
     */
    VmId arbiterNode();

    /**
     * Returns all other live nodes.
     *
     * @return their VMs
     */
    List<VmId> otherNodes();

    /**
     * Sends a query to another node, which passes it to {@link SuspectService#serve}.
     *
     * @param node the node to send it to
     * @param body the encoded query
     * @return the encoded reply; an error if the node cannot be reached in time
     */
    Mono<byte[]> request(VmId node, byte[] body);
}
