package org.cowslipbank.peer;

import java.util.Objects;

import org.cowslipbank.model.VmId;

/**
 * Where a node listens for peers. The identity proved by the node that answers must be the expected one, because an
 * address may be given to another VM.
 *
 * @param vm the node expected there
 * @param address the address as {@code IP:port}
 */
public record PeerAddress(VmId vm, String address) {
    /** Checks that nothing is null. */
    public PeerAddress {
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(address, "address");
    }
}
