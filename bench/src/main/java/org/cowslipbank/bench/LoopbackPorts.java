package org.cowslipbank.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

import org.cowslipbank.entry.settings.ListenSettings;

/** Finds free ports on loopback for nodes that run in this process. */
public final class LoopbackPorts {
    /** Loopback address on which all nodes and stand-ins of this process listen. */
    public static final String HOST = "127.0.0.1";

    private LoopbackPorts() {}

    /**
     * Finds a free port.
     *
     * @return a port that was free at the time of the call
     * @throws IOException if no port is free
     */
    public static int findFreePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(HOST, 0));
            return socket.getLocalPort();
        }
    }

    /**
     * Returns listen settings for a free loopback port.
     *
     * @return the settings
     * @throws IOException if no port is free
     */
    public static ListenSettings freeListener() throws IOException {
        return new ListenSettings(HOST, findFreePort());
    }
}
