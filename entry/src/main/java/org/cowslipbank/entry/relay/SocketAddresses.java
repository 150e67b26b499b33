package org.cowslipbank.entry.relay;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code IP:port}. */
final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * Parses an address.
     *
     * @param text the address as {@code IP:port}
     * @return the socket address
     * @throws IndexOutOfBoundsException if there is no colon
     * @throws IllegalArgumentException if the port is not a number from 0 to 65535
     */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
