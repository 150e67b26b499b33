package org.cowslipbank.peer;

import java.util.Objects;

import org.cowslipbank.model.VmId;

/**
 * The address at which a node listens for peers. The node that answers must authenticate as the expected one, because
 * the address may have been reassigned to another VM.
 *
 * @param vm the node expected at the address
 * @param address the address as {@code IP:port}
 */
public record PeerAddress(VmId vm, String address) {
    /** Checks that nothing is null. */
    public PeerAddress {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(address, "address");
    }
}
