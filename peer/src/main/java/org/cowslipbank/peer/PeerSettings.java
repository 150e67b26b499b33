package org.cowslipbank.peer;

import java.util.Objects;
import java.util.Optional;

/**
 * Settings of the peer transport.
 *
 * @param self this node
 * @param bindHost address on which to listen
 * @param bindPort port on which to listen, zero for any free port
 * @param secret the shared secret
 * @param tls TLS files, empty for plain TCP
 * @param limits limits on frame size and timeouts
 */
public record PeerSettings(
        PeerIdentity self, String bindHost, int bindPort, PeerSecret secret, Optional<PeerTls> tls, Limits limits) {
    /** Checks that nothing is null. */
    public PeerSettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(bindHost, "bindHost");
        Objects.requireNonNull(secret, "secret");
        Objects.requireNonNull(tls, "tls");
        Objects.requireNonNull(limits, "limits");
    }

    /**
     * Limits on frame size and timeouts.
     *
     * @param maxFrameBytes maximum frame size; exceeds the key-value service's largest value, since a configuration
     *     shard may be that large
     * @param connectTimeoutMillis maximum time to connect
     * @param handshakeTimeoutMillis maximum time to authenticate
     * @param heartbeatMillis idle time after which a heartbeat is sent
     * @param silenceMillis time without any message from the peer after which the connection is closed
     * @param maxAgeMillis age from which a connection is replaced before its next use
     */
    public record Limits(
            int maxFrameBytes,
            long connectTimeoutMillis,
            long handshakeTimeoutMillis,
            long heartbeatMillis,
            long silenceMillis,
            long maxAgeMillis) {
        /**
         * Defaults for production. The heartbeat interval is long because a node of a large data centre has some 50
         * open connections; an unanswered probe or request replaces a silent connection earlier.
         */
        public static final Limits DEFAULT = new Limits(1_200_000, 1_000, 2_000, 30_000, 75_000, 600_000);
    }
}
