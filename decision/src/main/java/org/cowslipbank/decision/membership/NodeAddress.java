package org.cowslipbank.decision.membership;

import org.cowslipbank.model.DataCentreId;
import org.cowslipbank.model.VmId;

/**
 * A node and its addresses.
 *
 * @param vm the node
 * @param dataCentre its data centre
 * @param address its peer address as {@code IP:port}
 * @param callerPort port at which it listens for callers, on the same IP address
 */
public record NodeAddress(VmId vm, DataCentreId dataCentre, String address, int callerPort) {
    /**
     * Returns the address that callers connect to.
     *
     * @return the address as {@code IP:port}
     */
    public String callerAddress() {
        return address.substring(0, address.lastIndexOf(':') + 1) + callerPort;
    }
}
