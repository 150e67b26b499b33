package org.cowslipbank.peer;

import java.util.Objects;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * Who a node is. Peers exchange it during authentication.
 *
 * @param vm the node
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
     * Returns where the node listens.
     *
     * @return the address
     */
    public PeerAddress peerAddress() {
        return new PeerAddress(vm, address);
    }
}
