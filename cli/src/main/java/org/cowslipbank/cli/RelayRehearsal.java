package org.cowslipbank.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Pattern;

import org.cowslipbank.entry.relay.RelayNode;
import org.cowslipbank.model.CowslipbankException;
import org.cowslipbank.model.PeerException;
import org.cowslipbank.model.ProcessingStep;
import org.cowslipbank.model.RunState;
import org.cowslipbank.platform.LoopbackPlatform;
import org.cowslipbank.ports.relay.RelaySettings;
import reactor.netty.resources.LoopResources;

/**
 * Training run for the class-data archive: starts a node against an in-process stand-in of the platform, sends it a few
 * requests and stops it. The build runs it with {@code -XX:ArchiveClassesAtExit}: with the resulting archive a node
 * starts in less than half the time.
 */
final class RelayRehearsal {
    // Time for the first read of the metadata store, which the requests need.
    private static final long STARTUP_WAIT_MILLIS = 700;
    private static final int PORT_COUNT = 6;
    private static final int FIRST_PORT = 15_000;
    private static final int LAST_PORT = 30_000;
    private static final int MAX_TRIES = 200;
    private static final int RESPONSE_TIMEOUT_MILLIS = 3_000;
    /** Statuses of the plain request, the prompt and the request without a route. */
    private static final List<String> EXPECTED_STATUSES = List.of("200", "200", "404");

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3})");

    private RelayRehearsal() {}

    /**
     * Starts the node, sends it the requests and stops it.
     *
     * @return true if the node gave the expected answers; otherwise the archive lacks classes that requests need
     * @throws CowslipbankException if the node cannot start or does not answer
     */
    static boolean run() throws CowslipbankException {
        LoopResources loops = LoopResources.create("rehearsal", 1, true);
        LoopbackPlatform platform = new LoopbackPlatform(loops);
        try {
            RelaySettings settings = platform.settings(freePorts());
            RelayNode node = RelayNodeFactory.create(settings, loops);
            node.start();
            Thread.sleep(STARTUP_WAIT_MILLIS);
            boolean answered = sendRequests(settings.listeners().clients());
            node.shutDown();
            return answered;
        } catch (IOException e) {
            throw new PeerException(ProcessingStep.SETTINGS, "rehearsal", RunState.UNKNOWN, e.toString(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            platform.stop();
        }
    }

    private static boolean sendRequests(String address) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(LoopbackPlatform.requests().getBytes(StandardCharsets.UTF_8));
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return STATUS_LINE
                    .matcher(answers)
                    .results()
                    .map(status -> status.group(1))
                    .toList()
                    .equals(EXPECTED_STATUSES);
        }
    }

    /**
     * Returns the first of several consecutive free ports below the ephemeral port range. An outgoing connection of the
     * training run could otherwise take one of the ports before the node listens on it.
     */
    private static int freePorts() throws IOException {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            if (areFree(port, PORT_COUNT)) {
                return port;
            }
        }
        throw new IOException("found no " + PORT_COUNT + " consecutive free ports in " + MAX_TRIES + " tries");
    }

    private static boolean areFree(int from, int count) {
        for (int port = from; port < from + count; port++) {
            try (ServerSocket socket = new ServerSocket(port)) {
                socket.setReuseAddress(true);
            } catch (IOException | IllegalArgumentException e) {
                // The port is taken or out of range.
                return false;
            }
        }
        return true;
    }
}
