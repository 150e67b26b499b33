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

/** A TCP proxy on loopback that disturbs what passes through it. */
final class FaultProxy implements Closeable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 200;
    private static final long POLL_MILLIS = 10;

    /** What happens to connections. */
    enum Mode {
        /** Bytes pass. */
        OPEN,
        /** Bytes towards the server wait; answers pass. */
        ONE_WAY,
        /** Bytes wait in both directions, and new connections open without ever answering. */
        SILENT,
        /** Open connections are reset, and new ones too. */
        RESET
    }

    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile int targetPort;
    private volatile Mode mode = Mode.OPEN;
    private volatile long delayMillis;

    /**
     * Opens a proxy.
     *
     * @param targetPort port on loopback to which connections go
     * @throws IOException if no port is free
     */
    FaultProxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        daemon("proxy-accept", this::accept);
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

    boolean isDisturbed() {
        return mode != Mode.OPEN || delayMillis > 0;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                if (mode == Mode.RESET) {
                    reset(client);
                    continue;
                }
                connect(client);
            } catch (IOException e) {
                // The proxy was closed, or its server is down; a client sees the latter as a reset.
                continue;
            }
        }
    }

    private void connect(Socket client) throws IOException {
        Socket server;
        try {
            server = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        } catch (IOException e) {
            reset(client);
            throw e;
        }
        sockets.add(client);
        sockets.add(server);
        daemon("proxy-up", () -> pass(client, server, true));
        daemon("proxy-down", () -> pass(server, client, false));
    }

    private void pass(Socket from, Socket to, boolean upwards) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                while (mode == Mode.SILENT || mode == Mode.ONE_WAY && upwards) {
                    Thread.sleep(POLL_MILLIS);
                }
                out.write(buffer, 0, read);
                out.flush();
            }
            to.shutdownOutput();
        } catch (IOException e) {
            // One side broke the connection, so the other one learns of it.
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
            // It is closed already, which is what was wanted.
            return;
        }
    }

    private static void daemon(String name, Runnable work) {
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
