import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** The way to a server, which can be cut: nothing passes meanwhile, and what was sent, ends of channels too, passes afterwards. */
final class Link {
    private final int serverPort;
    private final ServerSocket listener;
    private boolean cut;

    Link(int serverPort) throws IOException {
        this.serverPort = serverPort;
        this.listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        Http.daemon(() -> {
            while (true) {
                Socket fromNode = listener.accept();
                Http.daemon(() -> open(fromNode));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void setCut(boolean next) {
        cut = next;
        notifyAll();
    }

    private synchronized void pass() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void open(Socket fromNode) throws Exception {
        pass();
        Socket toServer;
        try {
            toServer = new Socket(InetAddress.getLoopbackAddress(), serverPort);
        } catch (IOException e) {
            fromNode.setSoLinger(true, 0);
            fromNode.close();
            return;
        }
        fromNode.setTcpNoDelay(true);
        toServer.setTcpNoDelay(true);
        Http.daemon(() -> pump(fromNode, toServer));
        pump(toServer, fromNode);
    }

    private void pump(Socket from, Socket to) throws Exception {
        byte[] bytes = new byte[16_384];
        InputStream in = from.getInputStream();
        int read = in.read(bytes);
        while (read >= 0) {
            pass();
            to.getOutputStream().write(bytes, 0, read);
            read = in.read(bytes);
        }
        pass();
        to.close();
        from.close();
    }
}
