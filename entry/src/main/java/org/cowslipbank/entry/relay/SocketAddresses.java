package org.cowslipbank.entry.relay;

import java.net.InetSocketAddress;

/** Reads addresses of the form {@code IP:port}. */
final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * Reads an address.
     *
     * @param text the address as {@code IP:port}
     * @return the address
     */
    static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
