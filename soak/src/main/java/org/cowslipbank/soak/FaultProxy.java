package org.cowslipbank.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy on loopback that injects network faults: delays, stalls and resets. */
final class FaultProxy implements Closeable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 200;
    private static final long POLL_MILLIS = 10;

    /** How the proxy treats connections. */
    enum Mode {
        /** Bytes are forwarded. */
        OPEN,
        /** Bytes to the server are held back; bytes to the client are forwarded. */
        ONE_WAY,
        /** Bytes are held back in both directions; new connections open but get no response. */
        SILENT,
        /** Open and new connections are reset. */
        RESET
    }

    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile int targetPort;
    private volatile Mode mode = Mode.OPEN;
    private volatile long delayMillis;

    /**
     * Starts a proxy on a free port.
     *
     * @param targetPort loopback port that connections are forwarded to
     * @throws IOException if no port is free
     */
    FaultProxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startDaemon("proxy-accept", this::acceptConnections);
    }

    int port() {
        return listener.getLocalPort();
    }

    void setTarget(int port) {
        targetPort = port;
    }

    void setMode(Mode next) {
        mode = next;
        if (next == Mode.RESET) {
            sockets.forEach(FaultProxy::reset);
        }
    }

    void setDelayMillis(long millis) {
        delayMillis = millis;
    }

    boolean isFaulty() {
        return mode != Mode.OPEN || delayMillis > 0;
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                if (mode == Mode.RESET) {
                    reset(client);
                    continue;
                }
                connectToServer(client);
            } catch (IOException e) {
                // The proxy was closed, or its server is down, in which case the client got a reset.
                continue;
            }
        }
    }

    private void connectToServer(Socket client) throws IOException {
        Socket server;
        try {
            server = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        } catch (IOException e) {
            reset(client);
            throw e;
        }
        sockets.add(client);
        sockets.add(server);
        startDaemon("proxy-up", () -> forward(client, server, true));
        startDaemon("proxy-down", () -> forward(server, client, false));
    }

    private void forward(Socket from, Socket to, boolean toServer) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                while (mode == Mode.SILENT || mode == Mode.ONE_WAY && toServer) {
                    Thread.sleep(POLL_MILLIS);
                }
                out.write(buffer, 0, read);
                out.flush();
            }
            to.shutdownOutput();
        } catch (IOException e) {
            // One side broke the connection, so both sides are reset.
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(from);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The socket is already closed.
            return;
        }
    }

    private static void startDaemon(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        sockets.forEach(FaultProxy::reset);
    }
}
