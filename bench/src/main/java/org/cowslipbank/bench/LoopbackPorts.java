package org.cowslipbank.bench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

import org.cowslipbank.entry.settings.ListenSettings;

/** Finds free ports on loopback for nodes that run in this process. */
public final class LoopbackPorts {
    /** The address on which everything in this process listens. */
    public static final String HOST = "127.0.0.1";

    private LoopbackPorts() {}

    /**
     * Finds a free port.
     *
     * @return the port
     * @throws IOException if there is none
     */
    public static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(HOST, 0));
            return socket.getLocalPort();
        }
    }

    /**
     * Returns a listener on a free port.
     *
     * @return the listener's settings
     * @throws IOException if there is no free port
     */
    public static ListenSettings freeListener() throws IOException {
        return new ListenSettings(HOST, free());
    }
}
