package org.cowslipbank.ports.relay;

/**
 * Settings of a node on the platform.
 *
 * @param nodeName the node's name
 * @param dataCentre its data centre
 * @param listeners addresses of its listeners
 * @param storeAddress the metadata store as {@code IP:port}
 * @param minLeaseMillis the shortest lease that the store grants, in milliseconds
 * @param bounds limits set by the platform's rules
 * @param memoryMegabytes memory limit of the process in megabytes, zero if not stated
 * @param linkBytesPerSecond rate of the VM's link in bytes per second, zero if not stated
 * @param processorCores processor time that the VM gets, in seconds of a reference core per second, zero if not stated
 * @param hedgePercent hedged requests that the node may send, in percent of a service's requests; zero for none
 * @param heldMegabytes megabytes (1,048,576 bytes) that the node may hold for its connections; zero for the default
 */
public record RelaySettings(
        String nodeName,
        String dataCentre,
        Listeners listeners,
        String storeAddress,
        long minLeaseMillis,
        Bounds bounds,
        long memoryMegabytes,
        long linkBytesPerSecond,
        double processorCores,
        int hedgePercent,
        int heldMegabytes) {
    /**
     * Addresses of the listeners as {@code IP:port}.
     *
     * @param clients for clients' requests
     * @param readiness for the platform's readiness checks
     * @param lookups for endpoint lookups
     * @param digests for load digests from other nodes, over UDP
     * @param cache for polls of the hub feed by other nodes
     * @param forwarding for requests of clients that other nodes pass on
     * @param metrics for metrics; empty text for none
     */
    public record Listeners(
            String clients,
            String readiness,
            String lookups,
            String digests,
            String cache,
            String forwarding,
            String metrics) {}

    /**
     * Limits set by the platform's rules.
     *
     * @param revokeMillis time after which a revoked key must not be accepted anywhere, in milliseconds
     * @param revokeStrict true if that holds even for nodes that have lost contact with the store
     * @param configurationMillis time after which a configuration is in force at nodes in touch with the store, in milliseconds
     * @param graceMillis time from SIGTERM to SIGKILL, in milliseconds
     * @param retryShare retry budget of all nodes together, as a ratio of retries to requests
     * @param retrySlack retries allowed in a window beyond that ratio, over all nodes
     * @param orderTurnMillis minimum time between orders of two different nodes, in milliseconds
     * @param versionMillis time in which a newly set weight version must be in use, in milliseconds
     * @param evacuateMillis time after which no request may reach an evacuated data centre, in milliseconds; zero if not
     *     stated
     * @param coldOver factor by which a cold upstream may get more requests than it can handle in a second, zero if not
     *     stated
     * @param coldSlack requests that it may get in a second beyond that
     */
    public record Bounds(
            long revokeMillis,
            boolean revokeStrict,
            long configurationMillis,
            long graceMillis,
            double retryShare,
            long retrySlack,
            long orderTurnMillis,
            long versionMillis,
            long evacuateMillis,
            double coldOver,
            long coldSlack) {}
}
