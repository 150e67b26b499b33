package org.cowslipbank.entry.settings;

/**
 * Addresses of another node that is known without the platform's VM list.
 *
 * @param vm the VM's name
 * @param dataCentre its data centre
 * @param callerAddress address of its callers' listener as {@code IP:port}
 * @param peerAddress address of its peer listener as {@code IP:port}
 */
public record SeedSettings(String vm, String dataCentre, String callerAddress, String peerAddress) {}
