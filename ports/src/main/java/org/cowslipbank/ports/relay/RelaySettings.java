package org.cowslipbank.ports.relay;

/**
 * Settings of a node on the platform.
 *
 * @param nodeName the node's name
 * @param dataCentre its data centre
 * @param listeners where it listens
 * @param storeAddress the metadata store as {@code IP:port}
 * @param minLeaseMillis the shortest lease of the store, in milliseconds
 * @param bounds figures of the rules in force
 * @param memoryMegabytes memory that the process may use, zero if not stated
 * @param linkBytesPerSecond rate of the VM's link, zero if not stated
 */
public record RelaySettings(
        String nodeName,
        String dataCentre,
        Listeners listeners,
        String storeAddress,
        long minLeaseMillis,
        Bounds bounds,
        long memoryMegabytes,
        long linkBytesPerSecond) {
    /**
     * Addresses of the listeners as {@code IP:port}.
     *
     * @param clients for clients' requests
     * @param readiness for the platform's readiness checks
     * @param lookups for address lookups
     * @param digests for digests of other nodes, over UDP
     * @param cache for questions of other nodes about cache stores
     * @param metrics for metrics; empty for none
     */
    public record Listeners(
            String clients, String readiness, String lookups, String digests, String cache, String metrics) {}

    /**
     * Figures of the rules in force.
     *
     * @param revokeMillis time after which a revoked key must not be accepted anywhere, in milliseconds
     * @param revokeStrict true if that holds for nodes without contact too
     * @param graceMillis time from SIGTERM to SIGKILL, in milliseconds
     * @param retryShare further attempts as a share of the requests, of all nodes together
     * @param retrySlack further attempts in a window beyond that share, of all nodes together
     * @param orderTurnMillis time that must pass between the orders of two givers, in milliseconds
     * @param versionMillis time in which a named version must be in force, in milliseconds
     */
    public record Bounds(
            long revokeMillis,
            boolean revokeStrict,
            long graceMillis,
            double retryShare,
            long retrySlack,
            long orderTurnMillis,
            long versionMillis) {}
}
