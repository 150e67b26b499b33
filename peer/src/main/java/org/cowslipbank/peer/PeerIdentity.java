package org.cowslipbank.peer;

import java.util.Objects;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Identity and addresses of a node. Peers exchange them during authentication.
 *
 * @param vm the node's VM
 * @param dataCentre its data centre
 * @param address the address at which it listens for peers, as {@code IP:port}
 * @param callerPort port at which it listens for callers, on the same IP address
 */
public record PeerIdentity(VmId vm, DataCentreId dataCentre, String address, int callerPort) {
    /** Checks that nothing is null. */
    public PeerIdentity {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(address, "address");
    }

    /**
     * Returns the address at which the node listens for peers.
     *
     * @return the address and the node that is expected to answer there
     */
    public PeerAddress peerAddress() {
        return new PeerAddress(vm, address);
    }
}
