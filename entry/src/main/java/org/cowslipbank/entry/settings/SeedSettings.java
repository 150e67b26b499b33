package org.cowslipbank.entry.settings;

/**
 * Another node that is known at the start.
 *
 * @param vm the VM's name
 * @param dataCentre its data centre
 * @param callerAddress address of its callers' listener as {@code IP:port}
 * @param peerAddress address of its peer listener as {@code IP:port}
 */
public record SeedSettings(String vm, String dataCentre, String callerAddress, String peerAddress) {}
