package org.cowslipbank.entry.suspects;

import java.util.List;

import org.cowslipbank.model.VmId;
import reactor.core.publisher.Mono;

/** What suspects need of the fleet. */
public interface SuspectPeers {
    /**
     * Returns this node.
     *
     * @return the VM
     */
    VmId self();

    /**
     * Returns the node of the region that holds the arbiter.
     *
     * @return the VM
     */
    VmId arbiter();

    /**
     * Returns all other live nodes.
     *
     * @return the VMs
     */
    List<VmId> others();

    /**
     * Sends a question to another node, which hands it to {@link SuspectService#serve}.
     *
     * @param node the node
     * @param body the encoded question
     * @return the encoded reply; an error if the node cannot be reached in time
     */
    Mono<byte[]> request(VmId node, byte[] body);
}
